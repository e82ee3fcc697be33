"""Request rates that servers in need have named, and those of cold servers.

A server in need names in its replies the requests per second that it takes from
all daemons together. Daemons share what they have learned through heartbeats,
and the latest reply counts. Which servers are cold each daemon derives itself.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import structlog

from oriolegauge.forwarding.leavinginstances import (
    UNLISTED_RETENTION_S,
    ServerInstance,
)
from oriolegauge.routing.coldservers import ColdServers

# Bounds the memory that reports of peers can take.
MAX_LIMITED_SERVERS = 512
# A peer repeats what it has learned from here, with the age increased by the
# transit time. Such a report is no newer reply.
REPORT_TRANSIT_S = 0.05
# Longer cold times are taken for errors of the writer.
MAX_COLD_S = 600.0
MS_PER_S = 1000

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """State the rate that a server named, and how long ago (s) it did.

    `per_s` is None if it names none any more.
    """

    server_instance: ServerInstance
    per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class _Reply:
    """Hold what the latest reply named; `number` counts replies with a rate."""

    per_s: float | None
    seen_at: float
    number: int


class ServerLimits:
    """Record the rate that each server instance takes from all daemons."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_change: Callable[[str], None],
        cold_servers: ColdServers | None = None,
    ) -> None:
        """Call `on_change(instance)` when a server names another rate.

        `clock` must also count the time in which the process is suspended.
        Without `cold_servers` no server is cold.
        """
        self._clock = clock
        self._cold_servers = cold_servers or ColdServers(lambda _: None)
        self._on_change = on_change
        self._replies: dict[ServerInstance, _Reply] = {}

    @property
    def is_any_limited(self) -> bool:
        """State whether any server names a rate or is cold."""
        return any(
            one.per_s is not None for one in self._replies.values()
        ) or bool(self._cold_servers.cold(self._clock()))

    def per_s(self, server_instance: ServerInstance) -> float | None:
        """Return the requests per second that the server takes, if limited."""
        found = self._replies.get(server_instance)
        named = found.per_s if found else None
        cold = self._cold_servers.per_s(server_instance, self._clock())
        if named is None or cold is None:
            return cold if named is None else named
        return min(named, cold)

    def is_cold(self, server_instance: ServerInstance) -> bool:
        """State whether the server is cold."""
        now = self._clock()
        return self._cold_servers.per_s(server_instance, now) is not None

    def note_cold(self, server_instance: ServerInstance, left_s: float) -> None:
        """Record how much longer a reply says that the server is cold."""
        self._cold_servers.note_reply(server_instance, left_s, self._clock())

    def mark(self, server_instance: ServerInstance) -> int:
        """Return the state to pass to `note_unlimited` with a later reply."""
        found = self._replies.get(server_instance)
        return found.number if found else 0

    def note(self, server_instance: ServerInstance, per_s: float) -> None:
        """Record the rate that a reply names."""
        self._set(server_instance, per_s, 0, 'server reply')

    def note_unlimited(
        self, server_instance: ServerInstance, mark: int
    ) -> None:
        """Record that a reply names no rate.

        `mark` is from the time when its request was sent: a reply made before
        the latest one that names a rate does not end the limit.
        """
        found = self._replies.get(server_instance)
        if found and found.per_s is not None and found.number == mark:
            self._set(server_instance, None, 0, 'server reply')

    def learn(self, reported: Iterable[ReportedLimit], peer: str) -> None:
        """Record the rates that a peer reported, where they are newer."""
        for limit in reported:
            found = self._replies.get(limit.server_instance)
            seen_at = self._clock() - limit.age_s
            if found is None or seen_at > found.seen_at + REPORT_TRANSIT_S:
                self._set(limit.server_instance, limit.per_s, limit.age_s, peer)

    def all(self) -> tuple[ReportedLimit, ...]:
        """Return the latest reply of each server, to be reported to peers."""
        now = self._clock()
        return tuple(
            ReportedLimit(server_instance, reply.per_s, now - reply.seen_at)
            for server_instance, reply in self._replies.items()
            if reply.per_s is not None
            or now - reply.seen_at < UNLISTED_RETENTION_S
        )

    def keep(self, listed: Collection[ServerInstance]) -> None:
        """Forget unlisted instances whose retention time has passed."""
        oldest = self._clock() - UNLISTED_RETENTION_S
        self._replies = {
            server_instance: reply
            for server_instance, reply in self._replies.items()
            if server_instance in listed or reply.seen_at > oldest
        }

    def _set(
        self,
        server_instance: ServerInstance,
        per_s: float | None,
        age_s: float,
        source: str,
    ) -> None:
        found = self._replies.get(server_instance)
        if found is None and per_s is None:
            return
        if found is None and len(self._replies) >= MAX_LIMITED_SERVERS:
            log.warning(
                'server limit not recorded: too many limited servers',
                server=server_instance.instance,
            )
            return
        number = found.number if found else 0
        self._replies[server_instance] = _Reply(
            per_s, self._clock() - age_s, number + (per_s is not None)
        )
        if found and found.per_s == per_s:
            return
        log.info(
            'server limit changed',
            server=server_instance.instance,
            started_ms=server_instance.started_ms,
            per_s=per_s,
            source=source,
            age_s=round(age_s, 3),
        )
        self._on_change(server_instance.instance)


def parse_cold_ms(text: str) -> float | None:
    """Return the seconds of a cold time in a header, if it is valid."""
    try:
        left_s = float(text) / MS_PER_S
    except ValueError:
        return None
    return left_s if 0 <= left_s <= MAX_COLD_S else None


def parse_rate(text: str) -> float | None:
    """Return the requests per second that a header names, if it is valid."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if per_s >= 0 and math.isfinite(per_s) else None
