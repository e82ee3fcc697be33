"""Admission limit for the network link of the daemon's host.

It matters when one caller sends many long prompts and all its connections
reach one daemon whose link is the smallest of the fleet. Without a limit its
sends queue for seconds, connections to all servers time out and nothing is
served; a request that is rejected at once is retried at another daemon.
"""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from oriolegauge.admission.errors import HostBusyError

# Share of the link that requests may use; the rest carries answers, headers and
# messages between daemons.
USABLE_SHARE = 0.8
# Added to the body of each request for headers, acknowledgements and answer.
OVERHEAD_BYTES = 1_000
# A request may wait for the link for this share of its latency objective;
# choosing a server and running the request take the rest.
MAX_WAIT_SHARE = 0.25
# Queue above which the link counts as congested and callers should connect
# elsewhere. At a usable share of 0.8 a full link reaches it in half a second,
# and the load balancer takes two more seconds to notice. Leaving its rotation
# needlessly costs little.
CONGESTION_QUEUE_S = 0.1
# A longer queue is not counted, so that the estimate recovers soon after a
# flood has ended.
MAX_COUNTED_QUEUE_S = 0.5
# The load balancer notices after two health checks, one a second.
CONGESTION_HOLD_S = 2.5
# Short, because another daemon can serve the request at once.
RETRY_AFTER_S = 0.05
_BITS_PER_BYTE = 8
_MEGA = 1_000_000

log = structlog.get_logger()


@dataclass(slots=True)
class _Direction:
    backlog_bytes: float = 0
    at: float = 0


class HostLink:
    """Estimate the bytes queued on the link in each direction."""

    def __init__(self, *, mbps: float, clock: Callable[[], float]) -> None:
        """Start idle; `mbps` is the link rate in megabits per second."""
        self._rate = mbps * _MEGA / _BITS_PER_BYTE * USABLE_SHARE
        self._clock = clock
        self._inward = _Direction(at=clock())
        self._outward = _Direction(at=clock())
        self._congested_until = clock()
        self._was_congested = False

    @property
    def is_congested(self) -> bool:
        """Return whether callers should connect to other daemons."""
        self._note_congestion()
        is_congested = self._clock() < self._congested_until
        if self._was_congested and not is_congested:
            log.info('host link free')
        self._was_congested = is_congested
        return is_congested

    def received(self, body_bytes: int) -> None:
        """Add a request that was received from a caller."""
        self._add(self._inward, body_bytes)

    def sent(self, body_bytes: int) -> None:
        """Add a request that is sent to a backend server."""
        self._add(self._outward, body_bytes)

    def check(self, body_bytes: int, objective_s: float) -> None:
        """Raise HostBusyError if the body would wait too long to be sent.

        `objective_s` is the latency objective of the request in seconds.
        """
        wait_s = self._wait_s(self._outward, body_bytes)
        if wait_s > objective_s * MAX_WAIT_SHARE:
            raise HostBusyError(
                f'the network link of this host is busy for {wait_s:.2f} s',
                retry_after_s=RETRY_AFTER_S,
            )

    def _note_congestion(self) -> None:
        waits = (self._wait_s(self._inward), self._wait_s(self._outward))
        if max(waits) <= CONGESTION_QUEUE_S:
            return
        now = self._clock()
        if now >= self._congested_until:
            self._was_congested = True
            log.warning(
                'host link congested',
                inward_s=round(waits[0], 3),
                outward_s=round(waits[1], 3),
            )
        self._congested_until = now + CONGESTION_HOLD_S

    def _wait_s(self, direction: _Direction, more_bytes: int = 0) -> float:
        """Return the seconds to send the backlog and `more_bytes`."""
        now = self._clock()
        passed = (now - direction.at) * self._rate
        direction.backlog_bytes = max(0, direction.backlog_bytes - passed)
        direction.at = now
        return (direction.backlog_bytes + more_bytes) / self._rate

    def _add(self, direction: _Direction, body_bytes: int) -> None:
        self._wait_s(direction)
        direction.backlog_bytes = min(
            direction.backlog_bytes + body_bytes + OVERHEAD_BYTES,
            self._rate * MAX_COUNTED_QUEUE_S,
        )
        self._note_congestion()
