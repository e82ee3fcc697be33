"""Stand-in of a caller: one attempt on a new channel."""

import asyncio
import secrets
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

NO_ANSWER = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Hold one attempt of a caller.

    `status` is 0 if the channel ended without a whole answer. Times are of the
    loop, in seconds.
    """

    attempt: str
    machine: str
    status: int
    sent_at: float
    ended_at: float
    detail: str = ''
    retry_after: str = ''
    body: bytes = b''


async def call(
    address: str,
    path: str,
    *,
    host: str,
    key: str = '',
    method: str = 'POST',
    body: bytes = b'',
    headers: Sequence[tuple[str, str]] = (),
    deadline_s: float = 3.0,
    bytes_per_s: float | None = None,
) -> Outcome:
    """Send one attempt and read its answer until the deadline."""
    loop = asyncio.get_running_loop()
    attempt = secrets.token_hex(8)
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'X-Oriolegauge-Attempt-Id: {attempt}',
        f'X-Oriolegauge-Deadline-Ms: {int(deadline_s * 1000)}',
        *(f'{name}: {text}' for name, text in headers),
    ]
    if key:
        lines.append(f'X-Api-Key: {key}')
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join((*lines, '', '')).encode()
    sent_at = loop.time()
    status, detail, retry_after, answer = NO_ANSWER, '', '', b''
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            name, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(name, int(port))
            sent_at = loop.time()
            writer.write(head)
            await _send(writer, body, bytes_per_s)
            found, fields, answer = await _read(reader)
            status = found
            retry_after = fields.get('retry-after', '')
    except TimeoutError:
        detail = 'deadline'
    except (OSError, EOFError, ValueError) as error:
        detail = f'channel ended: {type(error).__name__}'
    finally:
        if writer:
            writer.transport.abort()
    return Outcome(
        attempt=attempt,
        machine=address,
        status=status,
        sent_at=sent_at,
        ended_at=loop.time(),
        detail=detail,
        retry_after=retry_after,
        body=answer,
    )


async def _send(
    writer: asyncio.StreamWriter, body: bytes, bytes_per_s: float | None
) -> None:
    if bytes_per_s is None:
        writer.write(body)
        await writer.drain()
        return
    step = max(1, int(bytes_per_s / 20))
    for start in range(0, len(body), step):
        writer.write(body[start : start + step])
        await writer.drain()
        await asyncio.sleep(step / bytes_per_s)


async def _read(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    fields = {
        name.lower(): text
        for name, _, text in (line.partition(': ') for line in lines)
    }
    if fields.get('transfer-encoding') != 'chunked':
        length = int(fields.get('content-length', 0))
        return int(first.split()[1]), fields, await reader.readexactly(length)
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return int(first.split()[1]), fields, body
        body += part[:-2]


def count(outcomes: Iterable[Outcome]) -> dict[str, int]:
    """Count outcomes by status or by how the channel ended."""
    found: dict[str, int] = {}
    for one in outcomes:
        name = str(one.status) if one.status else one.detail
        found[name] = found.get(name, 0) + 1
    return dict(sorted(found.items()))
