"""Reading and watching the configuration in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.config.announcement import (
    ANNOUNCEMENT_KEY,
    announced_versions,
)
from oriolegauge.config.configinbox import ConfigInbox
from oriolegauge.config.parse import CONFIG_PREFIX
from oriolegauge.objectstore import ObjectStore, StoreUnavailableError


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTiming:
    """Set the periods of a store watch, in seconds.

    A probe shows that the store still answers while nothing changes, and that
    the watch has not silently died. It is skipped while peers' probes show the
    same, but at least one in `probe_at_least_s` tries this daemon's own path.
    Polls are rare because they read the whole tree, 2 MB for 1,000 teams of
    2 KB; probes find the changes that the command-line tool announces.
    """

    probe_at_least_s: float = 8.0
    poll_s: float = 300.0
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
        self._announced = 0
        self.contact_at: float | None = None
        self.watching = False

    async def read_all(self) -> int:
        """Read the whole tree; return its highest version."""
        started = self._clock()
        async with asyncio.timeout(self._timing.call_timeout_s):
            listed = await self._store.list_objects(CONFIG_PREFIX)
        self._inbox.accept_list(listed)
        self._polled_at = started
        self._note_contact(started)
        self._highest = max((found.version for found in listed), default=0)
        return self._highest

    async def follow(
        self,
        wanted: Callable[[float], bool],
        probe_due: Callable[[float], bool],
    ) -> None:
        """Watch while `wanted` and while the watch delivers all changes.

        Raise StoreError when the store fails.

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
                if not await self._is_up_to_date(probe_due):
                    return
        finally:
            await self._stop(pump)

    async def _stop(self, pump: asyncio.Task[None]) -> None:
        self.watching = False
        pump.cancel()
        await asyncio.gather(pump, return_exceptions=True)

    async def _pump(self, after: int) -> None:
        async for stored in self._store.watch(CONFIG_PREFIX, after):
            self._inbox.accept_from_store(stored)
            self._note_contact(self._clock())

    async def _is_up_to_date(self, probe_due: Callable[[float], bool]) -> bool:
        now = self._clock()
        if now - self._polled_at >= self._timing.poll_s:
            before = self._highest
            return await self.read_all() >= before
        own_age_s = now - (self.contact_at or 0)
        if own_age_s < self._timing.probe_at_least_s and not probe_due(now):
            return True
        return await self._probe(now)

    async def _probe(self, now: float) -> bool:
        """Return whether the watch delivered all announced changes.

        An announcement is judged once: the list that follows a failed probe
        holds all there is, even if a backup mixed old and new objects.
        """
        async with asyncio.timeout(self._timing.call_timeout_s):
            found = await self._store.get(ANNOUNCEMENT_KEY)
        version = found.version if found else 0
        before = self._announced
        self._announced = version
        if version < before:
            # The store went back to a backup, so its versions are lower than
            # the one after which the watch waits.
            return False
        news = found if version > before else None
        if news and not self._inbox.covers(announced_versions(news.value)):
            return False
        self._note_contact(now)
        return True

    def _note_contact(self, at: float) -> None:
        self.contact_at = max(at, self.contact_at or at)
        self._wake()
