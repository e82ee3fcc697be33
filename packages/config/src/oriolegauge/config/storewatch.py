"""Reads and watches of the configuration in the store.

A watch delivers changes. Probes and rare polls find out whether it stopped
working without an error or the store was restored from a backup.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.config.announcement import (
    ANNOUNCEMENT_KEY,
    announced_versions,
)
from oriolegauge.config.configreceiver import ConfigReceiver
from oriolegauge.config.parse import CONFIG_PREFIX
from oriolegauge.objectstore import ObjectStore, StoreUnavailableError


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTiming:
    """Set the periods of a store watch, in seconds.

    A probe shows that the store still answers while nothing changes, and that
    the watch has not stopped without an error. It is skipped while probes of
    peers show the same, but at least one in `own_probe_interval_s` tests this
    daemon's own connection. Polls are rare because they read the whole tree,
    2 MB for 1,000 teams of 2 KB; probes find the changes that the command-line
    tool announces.
    """

    own_probe_interval_s: float = 8.0
    poll_interval_s: float = 300.0
    call_timeout_s: float = 2.0
    check_interval_s: float = 0.25


class StoreWatch:
    """Watch the store while this daemon is a watcher."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        receiver: ConfigReceiver,
        clock: Callable[[], float],
        timing: WatchTiming,
        wake: Callable[[], None],
    ) -> None:
        """Pass objects to `receiver`; call `wake` after each store answer."""
        self._store = store
        self._receiver = receiver
        self._clock = clock
        self._timing = timing
        self._wake = wake
        self._polled_at = float('-inf')
        self._highest_listed = 0
        self._announced_version = 0
        self.contact_at: float | None = None
        self.watching = False

    async def read_all(self) -> int:
        """Read the whole tree; return its highest version."""
        started = self._clock()
        async with asyncio.timeout(self._timing.call_timeout_s):
            listed = await self._store.list_objects(CONFIG_PREFIX)
        self._receiver.accept_list(listed)
        self._polled_at = started
        self._note_contact(started)
        self._highest_listed = max(
            (found.version for found in listed), default=0
        )
        return self._highest_listed

    async def follow(
        self,
        should_watch: Callable[[float], bool],
        probe_due: Callable[[float], bool],
    ) -> None:
        """Watch while `should_watch` and while the watch delivers all changes.

        Raise StoreError if the store fails.

        The watch starts after the highest version in the list, not after the
        highest in force. A peer may have sent one key with a higher version
        than that of a change to another key that was not read yet.
        """
        highest = await self.read_all()
        receiving = asyncio.create_task(self._receive_changes(highest))
        self.watching = True
        try:
            while should_watch(self._clock()):
                await asyncio.wait(
                    {receiving}, timeout=self._timing.check_interval_s
                )
                if receiving.done():
                    receiving.result()
                    raise StoreUnavailableError('the watch ended')
                if not await self._is_up_to_date(probe_due):
                    return
        finally:
            await self._stop(receiving)

    async def _stop(self, receiving: asyncio.Task[None]) -> None:
        self.watching = False
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)

    async def _receive_changes(self, after: int) -> None:
        async for stored in self._store.watch(CONFIG_PREFIX, after):
            self._receiver.accept_from_store(stored)
            self._note_contact(self._clock())

    async def _is_up_to_date(self, probe_due: Callable[[float], bool]) -> bool:
        now = self._clock()
        if now - self._polled_at >= self._timing.poll_interval_s:
            previous_version = self._highest_listed
            return await self.read_all() >= previous_version
        own_age_s = now - (self.contact_at or 0)
        if own_age_s < self._timing.own_probe_interval_s and not probe_due(now):
            return True
        return await self._probe(now)

    async def _probe(self, now: float) -> bool:
        """Return whether the watch delivered all announced changes.

        Each announcement is checked once. After a failed probe the whole list
        is read, which is complete even if a backup mixed old and new objects.
        """
        async with asyncio.timeout(self._timing.call_timeout_s):
            found = await self._store.get(ANNOUNCEMENT_KEY)
        version = found.version if found else 0
        previous_version = self._announced_version
        self._announced_version = version
        if version < previous_version:
            # The store was restored from a backup, so its versions are lower
            # than the one after which the watch waits.
            return False
        newer_announcement = found if version > previous_version else None
        if newer_announcement and not self._receiver.covers(
            announced_versions(newer_announcement.value)
        ):
            return False
        self._note_contact(now)
        return True

    def _note_contact(self, at: float) -> None:
        self.contact_at = max(at, self.contact_at or at)
        self._wake()
