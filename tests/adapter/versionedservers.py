"""Stand-in servers of several software versions, for streams."""

import asyncio
from dataclasses import dataclass
from typing import Any

from .registeredserver import (
    RegisteredServer,
    begin_stream,
    end_stream,
    send_event,
)
from .standinstore import StandInStore

# A draining server serves for this time.
DRAIN_S = 2.0
DOWN_S = 1.0


@dataclass(frozen=True)
class StreamShape:
    """Describe the streams of servers.

    Each server closes the connection of every `break_every`-th new stream
    after `break_after` events; 0 breaks none.
    """

    events: int = 15
    pause_s: float = 0.1
    break_every: int = 0
    break_after: int = 5


class VersionedServer(RegisteredServer):
    """Stream events that name the version; continue streams of any version.

    Attempts whose streams it breaks off are added to `broken`.
    """

    def __init__(
        self,
        name: str,
        store: StandInStore,
        *,
        version: str,
        shape: StreamShape,
        broken: set[str],
    ) -> None:
        super().__init__(name, store)
        self.version = version
        self.is_ready = False
        self._shape = shape
        self._broken = broken
        self._new_streams = 0

    async def start(self) -> None:
        await super().start()
        self.is_ready = True

    async def drain(self) -> None:
        """Announce the end, serve on for a while, then leave."""
        self.is_ready = False
        await self._write_entry(state='draining')
        await asyncio.sleep(DRAIN_S)
        await self.store.delete('servers', self.name)
        self.abort()

    async def crash(self) -> None:
        """Reset all connections and start again later."""
        self.is_ready = False
        self.abort()
        await asyncio.sleep(DOWN_S)
        await self.start()

    async def _write_entry(self, **fields: Any) -> None:
        found = self.store.objects.get(('servers', self.name))
        known = found['spec'] if found else {'version': self.version}
        await super()._write_entry(**{**known, **fields})

    async def _answer(self, fields, writer):
        attempt = fields['x-oriolegauge-attempt-id']
        already = int(fields.get('last-event-id', 0))
        last = self._shape.events
        if not already and self._is_to_break():
            self._broken.add(attempt)
            last = self._shape.break_after
        begin_stream(writer, attempt)
        for number in range(already + 1, last + 1):
            await send_event(writer, number, f'{self.version} {attempt}')
            await asyncio.sleep(self._shape.pause_s)
        if last < self._shape.events:
            raise EOFError('the stream is broken off')
        end_stream(writer)

    def _is_to_break(self) -> bool:
        self._new_streams += 1
        every = self._shape.break_every
        return every > 0 and self._new_streams % every == 0
