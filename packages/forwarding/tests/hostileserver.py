"""Servers that never stop sending, run as a separate process.

Arguments: the kind of reply and the number of ports. Prints the ports.
"""

import asyncio
import contextlib
import sys

BLOCK = b'x' * 16_384


def _head(request_id, *lines):
    return '\r\n'.join(
        (
            'HTTP/1.1 200 OK',
            f'X-Request-Id: {request_id}',
            'X-Server-Signature: sig',
            *lines,
            '',
            '',
        )
    ).encode()


def _chunked(request_id, *lines):
    return _head(request_id, 'Transfer-Encoding: chunked', *lines)


def _stream(request_id):
    return _chunked(request_id, 'Content-Type: text/event-stream')


def _chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


# By kind: the bytes sent first, and the bytes repeated without end.
ENDLESS_REPLIES = {
    'header line': lambda name: (b'HTTP/1.1 200 OK\r\nX-Long: ', BLOCK),
    'header name': lambda name: (b'HTTP/1.1 200 OK\r\n', BLOCK),
    'headers': lambda name: (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 1_000),
    'status line': lambda name: (b'HTTP/1.1 200 ', BLOCK),
    'interim replies': lambda name: (
        b'',
        b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' * 200,
    ),
    'replies of others': lambda name: (
        b'',
        (_head('other', 'Content-Length: 2') + b'no') * 20,
    ),
    'body of another': lambda name: (_chunked('other'), _chunk(BLOCK)),
    'body': lambda name: (_chunked(name), _chunk(BLOCK)),
    'body without a length': lambda name: (_head(name), BLOCK),
    'chunk extension': lambda name: (_chunked(name) + b'1;', BLOCK),
    'trailer line': lambda name: (
        _chunked(name) + b'1\r\nx\r\n0\r\nX-T: ',
        BLOCK,
    ),
    'trailers': lambda name: (
        _chunked(name) + b'1\r\nx\r\n0\r\n',
        b'X-T: t\r\n' * 1_000,
    ),
    'event': lambda name: (_stream(name) + _chunk(b'data: '), _chunk(BLOCK)),
    'comments': lambda name: (_stream(name), _chunk(b': c\n\n' * 2_000)),
    'no answer': lambda name: (b'', BLOCK),
}


async def serve(kind, reader, writer):
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        head = await reader.readuntil(b'\r\n\r\n')
        name = ''
        for line in head.decode().split('\r\n'):
            key, _, content = line.partition(': ')
            if key.lower() == 'x-request-id':
                name = content
        once, again = ENDLESS_REPLIES[kind](name)
        writer.write(once)
        while True:
            writer.write(again)
            await writer.drain()


async def main(kind, count):
    servers = [
        await asyncio.start_server(
            lambda *pair: serve(kind, *pair), '127.0.0.1', 0
        )
        for _ in range(count)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    sys.stdout.write(' '.join(map(str, ports)) + '\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
