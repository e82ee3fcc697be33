"""Simulated network link: a TCP relay that can be cut or frozen."""

import asyncio
import contextlib

from aiohttp import web

from oriolegauge.standins.server import arguments, serve

CHUNK_BYTES = 65_536


class Link:
    """Relay connections to one target while the mode is `pass`.

    `cut` aborts open connections and leaves new ones without an answer;
    `freeze` keeps connections open and forwards nothing.
    """

    def __init__(self, host: str, port: int, target: str) -> None:
        self._host = host
        self._port = port
        self._target_host, _, target_port = target.rpartition(':')
        self._target_port = int(target_port)
        self._mode = 'pass'
        self._open: set[asyncio.StreamWriter] = set()
        self._flow = asyncio.Event()
        self._flow.set()

    def application(self) -> web.Application:
        app = web.Application()
        app.add_routes(
            [
                web.get('/admin/runs', self.get_mode),
                web.post('/admin/faults', self.set_mode),
            ]
        )
        app.cleanup_ctx.append(self._listen)
        return app

    async def get_mode(self, request: web.Request) -> web.Response:
        return web.json_response({'mode': self._mode})

    async def set_mode(self, request: web.Request) -> web.Response:
        self._mode = (await request.json())['mode']
        if self._mode == 'pass':
            self._flow.set()
        else:
            self._flow.clear()
        if self._mode == 'cut':
            for writer in list(self._open):
                writer.transport.abort()
        return web.json_response({'mode': self._mode})

    async def _listen(self, app: web.Application):
        server = await asyncio.start_server(
            self._accept, self._host, self._port
        )
        yield
        server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            # As in a network partition, the connection gets no answer.
            await self._flow.wait()
            target_reader, target_writer = await asyncio.open_connection(
                self._target_host, self._target_port
            )
        except OSError:
            self._open.discard(writer)
            writer.transport.abort()
            return
        self._open.add(target_writer)
        await asyncio.gather(
            self._relay(reader, target_writer),
            self._relay(target_reader, writer),
        )
        self._open -= {writer, target_writer}

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._flow.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
            return
        writer.transport.abort()


def main() -> None:
    """Run the simulated link from the command line."""
    parser = arguments('link')
    parser.add_argument('--admin-port', type=int, required=True)
    parser.add_argument('--target', required=True)
    options = parser.parse_args()
    link = Link(options.host, options.port, options.target)
    serve(link.application(), options.host, options.admin_port)


if __name__ == '__main__':
    main()
