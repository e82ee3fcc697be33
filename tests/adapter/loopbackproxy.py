"""TCP proxy on the loopback address that injects faults into connections."""

import asyncio
import contextlib
from enum import Enum

HOST = '127.0.0.1'
CHUNK = 65_536
DELAY_S = 0.15


class LinkFault(Enum):
    """Name a fault of all connections of a proxy."""

    NONE = 'none'
    DELAY = 'delay'
    # Holds back bytes to the server; answers still pass.
    CUT_REQUESTS = 'cut requests'
    CUT_ANSWERS = 'cut answers'


class LoopbackProxy:
    """Forward connections to a port; `fault` applies to all of them.

    `blackhole` drops all further bytes of the open connections without a
    reset, while new connections work; `reset` aborts the open connections.
    """

    def __init__(self, target_port: int) -> None:
        self.fault = LinkFault.NONE
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._fault_changed = asyncio.Condition()
        self._blackholed: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()
        self.reset()

    async def heal(self) -> None:
        """End the fault and forward the bytes held back."""
        self.fault = LinkFault.NONE
        async with self._fault_changed:
            self._fault_changed.notify_all()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def blackhole(self) -> None:
        """Drop all further bytes of the open connections."""
        self._blackholed |= self._writers

    async def _serve(self, reader, writer):
        try:
            upstream = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, upstream[1]}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, upstream[1], LinkFault.CUT_REQUESTS),
                self._pump(upstream[0], writer, LinkFault.CUT_ANSWERS),
            )
        finally:
            self._writers -= pair
            self._blackholed -= pair
            for end in pair:
                end.transport.abort()

    async def _pump(self, reader, writer, cut):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                async with self._fault_changed:
                    await self._fault_changed.wait_for(
                        lambda: self.fault is not cut
                    )
                if writer not in self._blackholed:
                    writer.write(data)
                    await writer.drain()
            if writer not in self._blackholed:
                writer.write_eof()
