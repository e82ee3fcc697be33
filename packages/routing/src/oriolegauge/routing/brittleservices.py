"""Services whose servers fall over if they turn too many requests away.

All servers of such a service say so in their replies, so that one reply tells
for the whole service. Daemons share what they have learned through heartbeats,
and the latest reply counts.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

# Bounds the memory that reports of peers can take.
MAX_SERVICES = 128
# How long the end is reported to peers, which may have heard of it late.
END_REPORTED_S = 10.0
# A peer repeats what it has learned from here, with the age increased by the
# transit time. Such a report is no newer reply.
REPORT_TRANSIT_S = 0.05

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ReportedService:
    """State how many rejections a second a server of a service bears.

    `bears` is None if its servers are not brittle any more; the reply that
    tells it is `age_s` old.
    """

    service: str
    bears: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class _Reply:
    bears: float | None
    seen_at: float


class BrittleServices:
    """Record what the latest replies say of each service."""

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        """Call `on_change` when a service becomes brittle, or is no longer."""
        self._clock = clock
        self._on_change = on_change
        self._replies: dict[str, _Reply] = {}

    @property
    def count(self) -> int:
        """Return the number of brittle services."""
        return sum(one.bears is not None for one in self._replies.values())

    def is_brittle(self, service: str) -> bool:
        """State whether the servers of the service are brittle."""
        found = self._replies.get(service)
        return found is not None and found.bears is not None

    def note(self, service: str, bears: float) -> None:
        """Record the rejections a second that a reply names."""
        self._set(service, bears, 0, 'server reply')

    def note_unnamed(self, service: str, sent_at: float) -> None:
        """Record a reply that names none, to a request sent at `sent_at`.

        It may have been made before the latest reply that names a number,
        unless its request was sent after that one.
        """
        found = self._replies.get(service)
        if found and found.bears is not None and sent_at > found.seen_at:
            self._set(service, None, 0, 'server reply')

    def learn(self, reported: Iterable[ReportedService], peer: str) -> None:
        """Record what a peer reports, where it is newer."""
        for report in reported:
            found = self._replies.get(report.service)
            seen_at = self._clock() - report.age_s
            if found is None or seen_at > found.seen_at + REPORT_TRANSIT_S:
                self._set(report.service, report.bears, report.age_s, peer)

    def all(self) -> tuple[ReportedService, ...]:
        """Return the latest replies, to be reported to peers."""
        now = self._clock()
        return tuple(
            ReportedService(service, reply.bears, now - reply.seen_at)
            for service, reply in self._replies.items()
            if reply.bears is not None or now - reply.seen_at < END_REPORTED_S
        )

    def _set(
        self, service: str, bears: float | None, age_s: float, source: str
    ) -> None:
        found = self._replies.get(service)
        if found is None and (
            bears is None or len(self._replies) >= MAX_SERVICES
        ):
            return
        self._replies[service] = _Reply(bears, self._clock() - age_s)
        if (found and found.bears) == bears:
            return
        log.info(
            'brittle servers',
            service=service,
            bears_per_s=bears,
            source=source,
            age_s=round(age_s, 3),
        )
        self._on_change()
