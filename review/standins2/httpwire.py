"""Reads and writes HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """Hold a request or an answer; names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b''
    pieces: list[bytes] = field(default_factory=list)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    raw = await reader.readuntil(b'\r\n\r\n')
    start, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(start, headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its whole body."""
    message = await read_head(reader)
    if 'chunked' in message.headers.get('transfer-encoding', ''):
        while size := int(await reader.readline(), 16):
            message.pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        message.body = b''.join(message.pieces)
        return message
    length = int(message.headers.get('content-length', 0))
    message.body = await reader.readexactly(length)
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
