"""Servers that take only a limited request rate for some time after a start.

Each daemon derives by itself which servers are cold: from their entries, their
replies and the time for which it has known them.
"""

import math
from collections.abc import Callable, Collection, Hashable, Iterable, Mapping
from dataclasses import dataclass

import structlog

from oriolegauge.routing.ratepermits import TRIAL_PER_S

# Wall clocks of hosts may differ by this much. A server counts as old only if
# its start is earlier by this margin.
CLOCK_MARGIN_S = 5.0
# An unlisted server may be listed again: entries expire in an outage of the
# store.
UNLISTED_RETENTION_S = 60.0

FIRST_SEEN = 'first seen'
ENTRY = 'entry'
REPLY = 'reply'
ZONE_RETURNED = 'zone returned'

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """State how long servers of a service are cold, and their rate then.

    `cold_s` or `per_s` is 0 if the configuration names none.
    """

    cold_s: float
    per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """Describe a server process as listed.

    `left_s` is how much longer it says to be cold; `age_s` is the time since
    its start by the wall clock, None if the start is not known.
    """

    server: Hashable
    service: str
    left_s: float
    age_s: float | None


@dataclass(slots=True)
class _Process:
    """Hold what is known of one server process; times are those of `now`."""

    service: str
    first_seen_at: float
    first_left_s: float
    first_age_s: float | None
    listed_at: float
    entry_left_s: float = 0
    left_until: float = -math.inf
    returned_at: float = -math.inf

    def is_old(self, cold_s: float) -> bool:
        """State whether the process was surely warm when first seen."""
        return (
            self.first_left_s == 0
            and self.first_age_s is not None
            and self.first_age_s > cold_s + CLOCK_MARGIN_S
        )

    def cold_until(self, cold_s: float) -> float:
        """Return the latest time for which the process counts as cold."""
        until = max(self.left_until, self.returned_at + cold_s)
        if self.is_old(cold_s):
            return until
        return max(until, self.first_seen_at + cold_s)


class ColdServers:
    """Record until when each server process is cold.

    `now` is in seconds of a clock that also counts the time in which the
    process is suspended.
    """

    def __init__(self, on_change: Callable[[Hashable], None]) -> None:
        """Call `on_change(server)` when a server becomes cold or warm."""
        self._on_change = on_change
        self._terms: Mapping[str, ColdTerms] = {}
        self._processes: dict[Hashable, _Process] = {}
        # Processes whose cold time may not have ended yet.
        self._cold: set[Hashable] = set()

    def set_terms(self, terms: Mapping[str, ColdTerms], now: float) -> None:
        """Use the terms of each service; others have no cold servers."""
        self._terms = terms
        for server in self._processes:
            self._update(server, now, FIRST_SEEN)

    def note_entries(self, entries: Iterable[ServerEntry], now: float) -> None:
        """Record the list of servers; forget those that are long gone."""
        for entry in entries:
            self._note_entry(entry, now)
        gone = [
            server
            for server, process in self._processes.items()
            if now - process.listed_at > UNLISTED_RETENTION_S
        ]
        for server in gone:
            del self._processes[server]
            self._cold.discard(server)

    def note_reply(self, server: Hashable, left_s: float, now: float) -> None:
        """Record how much longer a reply says that the server is cold."""
        process = self._processes.get(server)
        if process is None:
            return
        process.left_until = max(process.left_until, now + left_s)
        self._update(server, now, REPLY)

    def note_returned(self, servers: Iterable[Hashable], now: float) -> None:
        """Record servers of a zone whose evacuation has ended."""
        for server in servers:
            process = self._processes.get(server)
            if process:
                process.returned_at = now
                self._update(server, now, ZONE_RETURNED)

    def per_s(self, server: Hashable, now: float) -> float | None:
        """Return the rate that a cold server takes, None if it is warm."""
        # Most servers are warm, and this is called for each request.
        if server not in self._cold or self._cold_until(server) <= now:
            return None
        return self._rate(self._processes[server].service)

    def cold(self, now: float) -> Collection[Hashable]:
        """Return the servers that are cold."""
        return {
            server for server in self._cold if self._cold_until(server) > now
        }

    def expire(self, now: float) -> None:
        """Report the servers whose cold time has ended."""
        for server in self._cold - set(self.cold(now)):
            self._cold.remove(server)
            log.info('server warm', server=_name(server))
            self._on_change(server)

    def _note_entry(self, entry: ServerEntry, now: float) -> None:
        process = self._processes.get(entry.server)
        if process is None:
            process = self._processes[entry.server] = _Process(
                service=entry.service,
                first_seen_at=now,
                first_left_s=entry.left_s,
                first_age_s=entry.age_s,
                listed_at=now,
            )
        process.listed_at = now
        # The list is read again whenever any server changes; an entry that has
        # stayed the same tells nothing new.
        if entry.left_s != process.entry_left_s:
            process.entry_left_s = entry.left_s
            process.left_until = max(process.left_until, now + entry.left_s)
        self._update(
            entry.server, now, ENTRY if entry.left_s > 0 else FIRST_SEEN
        )

    def _update(self, server: Hashable, now: float, source: str) -> None:
        """Report the server if it has become cold."""
        until = self._cold_until(server)
        if server in self._cold or until <= now:
            return
        self._cold.add(server)
        log.info(
            'server cold',
            server=_name(server),
            per_s=self._rate(self._processes[server].service),
            left_s=round(until - now, 3),
            source=source,
        )
        self._on_change(server)

    def _cold_until(self, server: Hashable) -> float:
        process = self._processes[server]
        terms = self._terms.get(process.service)
        if terms is None or max(terms.cold_s, terms.per_s) <= 0:
            return -math.inf
        return process.cold_until(terms.cold_s)

    def _rate(self, service: str) -> float:
        """Return the rate of a cold server of the service."""
        named = self._terms[service].per_s
        if named > 0:
            return named
        return min(
            (one.per_s for one in self._terms.values() if one.per_s > 0),
            default=TRIAL_PER_S,
        )


def _name(server: Hashable) -> str:
    return getattr(server, 'instance', str(server))
