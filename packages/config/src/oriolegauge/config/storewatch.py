"""Reading and watching the configuration in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.config.configinbox import ConfigInbox
from oriolegauge.config.parse import LIMITS_KEY, PREFIX
from oriolegauge.platform import ObjectStore, StoreUnavailableError


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTiming:
    """Set the periods of a store watch, in seconds.

    A probe shows that the store still answers while nothing changes. It is
    skipped while peers' probes do the same, but at least one in
    `probe_at_least_s` shows that this daemon's own path works.
    """

    probe_after_s: float = 1.0
    probe_at_least_s: float = 8.0
    poll_s: float = 30.0
    call_timeout_s: float = 2.0
    step_s: float = 0.25


class StoreWatch:
    """Follow the store while this daemon is asked to."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        inbox: ConfigInbox,
        clock: Callable[[], float],
        timing: WatchTiming,
        wake: Callable[[], None],
    ) -> None:
        """Put objects into the inbox and call `wake` after each success."""
        self._store = store
        self._inbox = inbox
        self._clock = clock
        self._timing = timing
        self._wake = wake
        self._polled_at = float('-inf')
        self._highest = 0
        self.contact_at: float | None = None
        self.watching = False

    async def read_all(self) -> int:
        """Read the whole tree; return its highest version."""
        started = self._clock()
        async with asyncio.timeout(self._timing.call_timeout_s):
            listed = await self._store.list_objects(PREFIX)
        self._inbox.accept_list(listed)
        self._polled_at = started
        self._heard(started)
        self._highest = max((found.version for found in listed), default=0)
        return self._highest

    async def follow(
        self,
        wanted: Callable[[float], bool],
        age_s: Callable[[float], float | None],
    ) -> None:
        """Watch while `wanted`; raise StoreError when the store fails.

        The watch starts after the highest version in the list rather than the
        highest in force: a peer may have given one key of a higher version
        than another key that was not read yet.
        """
        highest = await self.read_all()
        pump = asyncio.create_task(self._pump(highest))
        self.watching = True
        try:
            while wanted(self._clock()):
                await asyncio.wait({pump}, timeout=self._timing.step_s)
                if pump.done():
                    pump.result()
                    raise StoreUnavailableError('the watch ended')
                await self._check(age_s)
        finally:
            await self._stop(pump)

    async def _stop(self, pump: asyncio.Task[None]) -> None:
        self.watching = False
        pump.cancel()
        await asyncio.gather(pump, return_exceptions=True)

    async def _pump(self, after: int) -> None:
        async for stored in self._store.watch(PREFIX, after):
            self._inbox.accept_from_store(stored)
            self._heard(self._clock())

    async def _check(self, age_s: Callable[[float], float | None]) -> None:
        now = self._clock()
        if now - self._polled_at >= self._timing.poll_s:
            await self._poll()
            return
        own_age_s = now - (self.contact_at or 0)
        known_age_s = age_s(now)
        if (
            known_age_s is not None
            and known_age_s < self._timing.probe_after_s
            and own_age_s < self._timing.probe_at_least_s
        ):
            return
        async with asyncio.timeout(self._timing.call_timeout_s):
            found = await self._store.get(LIMITS_KEY)
        if found is not None:
            self._inbox.accept_from_store(found)
        self._heard(now)

    async def _poll(self) -> None:
        before = self._highest
        if await self.read_all() < before:
            raise StoreUnavailableError('the store went back to a backup')

    def _heard(self, at: float) -> None:
        self.contact_at = max(at, self.contact_at or at)
        self._wake()
