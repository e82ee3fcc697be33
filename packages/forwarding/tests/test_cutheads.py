"""Servers that stop at any byte of their reply's header or just after it."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import pytest
from structlog.testing import capture_logs

from .world import (
    ScriptedServer,
    World,
    chunk,
    event,
    reply,
    request_bytes,
    reset_connection,
)

INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
BODY = b'genuine body'
STREAM = event(1) + event(2)
# Bytes after the header at which the reply is cut too.
BODY_BYTES_CUT = 8
# Calls at once to each daemon.
PARALLEL = 16
PATHS = {'once': '/once/x', 'safe': '/safe/x', 'stream': '/chat/x'}


@dataclass(frozen=True)
class Fault:
    """Describe how the replies of a test are cut."""

    framing: str
    is_reset: bool = False
    is_reused: bool = False
    has_interim: bool = False
    is_first_only: bool = False

    def __str__(self):
        names = ('is_reset', 'is_reused', 'has_interim', 'is_first_only')
        held = [name for name in names if getattr(self, name)]
        return '-'.join([self.framing, *held])


def genuine(kind, framing, request_id):
    """Return the header and the body of the whole reply."""
    body = STREAM if kind == 'stream' else BODY
    lines = [
        'HTTP/1.1 200 OK',
        f'X-Request-Id: {request_id}',
        'X-Server-Signature: sig',
    ]
    if kind == 'stream':
        lines.append('Content-Type: text/event-stream')
    match framing:
        case 'length':
            lines.append(f'Content-Length: {len(body)}')
        case 'chunked':
            lines.append('Transfer-Encoding: chunked')
            body = chunk(body) + b'0\r\n\r\n'
    return '\r\n'.join([*lines, '', '']).encode(), body


class CuttingServers:
    """Cut each reply at the byte that its request names."""

    def __init__(self, fault):
        self.fault = fault
        self.runs = Counter()
        self.used = set()
        self.reused = 0

    async def answer(self, seen, writer):
        if 'x-cut' not in seen.headers:
            self.used.add(writer)
            writer.write(reply(seen))
            return
        self.reused += writer in self.used
        name = seen.request_id
        self.runs[name] += 1
        head, body = genuine(seen.headers['x-kind'], self.fault.framing, name)
        if self.fault.is_first_only and self.runs[name] > 1:
            writer.write(head + body)
            writer.close()
            return
        interim = INTERIM if self.fault.has_interim else b''
        whole = interim + head + body
        writer.write(whole[: int(seen.headers['x-cut'])])
        await writer.drain()
        if self.fault.is_reset:
            # Bytes that arrive together with a reset may never be read.
            await asyncio.sleep(0.002)
            reset_connection(writer)
        else:
            writer.close()


def whole_body(raw):
    """Return the body of a complete 200, None for any other answer."""
    head, end, rest = raw.partition(b'\r\n\r\n')
    if not end or b' 200 ' not in head.split(b'\r\n')[0]:
        return None
    lower = head.lower()
    if b'transfer-encoding: chunked' not in lower:
        length = int(lower.split(b'content-length:')[1].split()[0])
        return rest if len(rest) == length else None
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        if size == b'0':
            return body
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return None


async def call(world, kind, request_id, cut):
    """Return all bytes of the answer to one call on a new connection."""
    reader, writer = await world.connect()
    writer.write(
        request_bytes(
            PATHS[kind],
            request_id,
            X_Cut=str(cut),
            X_Kind=kind,
            Connection='close',
        )
    )
    try:
        return await asyncio.wait_for(reader.read(), 5)
    except ConnectionError:
        return b''
    finally:
        writer.close()


async def call_at_each_cut(world, fault, kind):
    """Return the offset from the body, the id and the answer of each call."""
    head, body = genuine(kind, fault.framing, f'{kind}-000')
    before_body = len(head) + (len(INTERIM) if fault.has_interim else 0)
    last = before_body + BODY_BYTES_CUT
    assert last < before_body + len(body)
    width = 1 if fault.is_reused else PARALLEL
    outcomes = []
    for first in range(0, last + 1, width):
        if fault.is_reused:
            await world.call('/safe/x')
        cuts = range(first, min(first + width, last + 1))
        answers = await asyncio.gather(
            *(call(world, kind, f'{kind}-{cut:03}', cut) for cut in cuts)
        )
        outcomes += [
            (cut - before_body, f'{kind}-{cut:03}', raw)
            for cut, raw in zip(cuts, answers, strict=True)
        ]
    return outcomes


FRAMINGS = ('length', 'chunked', 'connection')
FAULTS = [
    *(Fault(framing) for framing in FRAMINGS),
    *(Fault(framing, is_reset=True) for framing in FRAMINGS),
    *(Fault(framing, is_first_only=True) for framing in FRAMINGS),
    *(Fault(framing, is_reused=True) for framing in FRAMINGS),
    Fault('length', is_reset=True, is_reused=True),
    *(Fault(framing, has_interim=True) for framing in FRAMINGS),
]


def check(fault, kind, offset, raw):
    """Check one answer; `offset` is that of the cut from the body's start."""
    body = whole_body(raw)
    is_retried = fault.is_first_only and kind != 'once'
    if is_retried:
        whole = STREAM if kind == 'stream' else BODY
        assert body == whole or _is_unknowable(fault, kind, offset), raw
    elif _is_unknowable(fault, kind, offset):
        assert body == BODY[:offset]
    else:
        assert body is None, raw
        assert raw.startswith(b'HTTP/1.1 502 '), raw


def _is_unknowable(fault, kind, offset):
    """State whether the reply looks like one that ended properly.

    Without a length, only an empty body or a cut event shows the cut.
    """
    is_ended = fault.framing == 'connection' and not fault.is_reset
    return is_ended and kind != 'stream' and offset > 0


class TestCutHeads:
    @pytest.mark.parametrize('kind', PATHS)
    @pytest.mark.parametrize('fault', FAULTS, ids=str)
    async def test_cut_reply_is_no_whole_answer(self, fault, kind):
        """Guards against a 200 with an empty or short body, framed as whole.

        Also against a second run of a call that must run once.
        """
        cutting = CuttingServers(fault)
        count = 1 if fault.is_reused else 2
        servers = [ScriptedServer(cutting.answer) for _ in range(count)]
        # Rendering the log lines would take most of the time.
        with capture_logs():
            async with World(*servers, credit=10_000) as world:
                outcomes = await call_at_each_cut(world, fault, kind)
        for offset, name, raw in outcomes:
            check(fault, kind, offset, raw)
            is_repeated = not (
                kind == 'once'
                or fault.is_reused
                or _is_unknowable(fault, kind, offset)
            )
            assert cutting.runs[name] == 1 + is_repeated
        if fault.is_reused:
            assert cutting.reused == len(outcomes)

    @pytest.mark.parametrize(
        ('method', 'status'), [('GET', '204 No Content'), ('HEAD', '200 OK')]
    )
    async def test_reply_that_has_no_body_is_whole(self, method, status):
        """Guards against taking a reply that has no body for a cut one."""

        async def answer(seen, writer):
            head, _ = genuine('once', 'connection', seen.request_id)
            writer.write(head.replace(b'200 OK', status.encode()))
            await writer.drain()
            writer.close()

        async with World(ScriptedServer(answer)) as world:
            reader, writer = await world.connect()
            writer.write(request_bytes('/once/x', method=method))
            line = await asyncio.wait_for(reader.readline(), 5)
            assert line.decode().strip() == f'HTTP/1.1 {status}'
            writer.close()
