"""Admission limit for the network link of the daemon's host.

It matters when one caller sends many long prompts and all its connections
reach one daemon whose link is the smallest of the fleet. Without a limit its
sends queue for seconds, connections to all servers time out and nothing is
served. A refused request comes back to the same daemon as long as that is in
the balancer's rotation, so a full link takes the daemon out of it.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from oriolegauge.admission.errors import HostBusyError

# Share of the link that requests may use; the rest carries messages between
# daemons and new connections.
USABLE_SHARE = 0.8
# Payload of a packet, its headers, and the acknowledgement that it causes in
# the other direction. Each event of a stream is a packet of its own.
PACKET_BYTES = 1_448
PACKET_OVERHEAD_BYTES = 66
ACK_BYTES = 66
# A request may wait for the link for this share of its latency objective;
# choosing a server and running the request take the rest.
MAX_WAIT_SHARE = 0.25
# The longest such wait, so that urgent requests behind it are in time.
MAX_WAIT_S = 0.2
# A body that takes no longer than this on the link is small: its refusal frees
# next to nothing. It is sent unless it would wait longer than MAX_SMALL_WAIT_S
# and its objective.
SMALL_BODY_S = 0.005
MAX_SMALL_WAIT_S = 0.3
# Queue at USABLE_SHARE of the rate, in either direction, above which the link
# counts as congested and callers should connect elsewhere.
CONGESTION_QUEUE_S = 0.1
# The queue has to stay above CONGESTION_QUEUE_S for this time. Five long
# prompts of 9 KB at once fill 5 Mbit/s for 0.1 s, which is no flood.
CONGESTION_PERIOD_S = 0.5
# Queue above which a new connection may wait for this host's own link, and up
# to which a body is sent however long it is.
LOADED_QUEUE_S = 0.05
# A longer queue is not counted, so that the estimate recovers soon after a
# flood has ended.
MAX_COUNTED_QUEUE_S = 0.5
# The load balancer notices after two health checks, one a second.
BALANCER_S = 2.5
# A caller returns as soon as its host is back in the rotation. The balancer
# tries hosts in an order of its own, and each that can't carry the caller costs
# some 3 s; with holds of 2.5 s a caller went from one small host to the next
# and back, and never reached a host with a larger link.
CONGESTION_HOLD_S = 20.0
# Each congestion that begins within RELAPSE_S of the last hold doubles the hold
# up to the maximum.
RELAPSE_S = 10.0
MAX_CONGESTION_HOLD_S = 60.0
# Shortest time after which a refused request may come again. The balancer sends
# it to this host again as long as that is in the rotation.
RETRY_AFTER_S = 0.05
# Waits for the link up to this time are no reason for a refusal.
MIN_WAIT_S = 0.1
_BITS_PER_BYTE = 8
_MEGA = 1_000_000

log = structlog.get_logger()


@dataclass(slots=True)
class _Queue:
    """Bytes that wait at the loop time `at` to pass at `rate` a second."""

    rate: float
    max_s: float
    at: float
    backlog_bytes: float = 0

    def wait_s(self, now: float) -> float:
        """Return the seconds until the backlog has passed."""
        passed = (now - self.at) * self.rate
        self.backlog_bytes = max(0, self.backlog_bytes - passed)
        self.at = now
        return self.backlog_bytes / self.rate

    def add(self, size: int, now: float) -> None:
        """Add bytes, up to the longest queue that is counted."""
        self.wait_s(now)
        self.backlog_bytes = min(
            self.backlog_bytes + size, self.rate * self.max_s
        )


class HostLink:
    """Estimate the bytes queued on the link in each direction."""

    def __init__(self, *, mbps: float, clock: Callable[[], float]) -> None:
        """Start idle; `mbps` is the link rate in megabits per second."""
        self._rate = mbps * _MEGA / _BITS_PER_BYTE * USABLE_SHARE
        self._clock = clock
        now = clock()
        self._inward = _Queue(self._rate, MAX_COUNTED_QUEUE_S, now)
        self._outward = _Queue(self._rate, MAX_COUNTED_QUEUE_S, now)
        self._long_since = math.inf
        self._hold_s = CONGESTION_HOLD_S
        self._congested_at = -math.inf
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

    @property
    def is_loaded(self) -> bool:
        """State whether a new connection may wait for this link."""
        now = self._clock()
        waits = (self._inward.wait_s(now), self._outward.wait_s(now))
        return max(waits) > LOADED_QUEUE_S

    def received(self, size: int) -> None:
        """Add bytes that were read from a caller."""
        self._add(self._inward, self._outward, size)

    def received_answer(self, size: int) -> None:
        """Add bytes that were read from a backend server."""
        self._add(self._inward, self._outward, size)

    def sent(self, size: int) -> None:
        """Add bytes that are written to a server or caller."""
        self._add(self._outward, self._inward, size)

    def check(self, body_bytes: int, objective_s: float) -> None:
        """Raise HostBusyError if the body would wait too long to be sent.

        `objective_s` is the latency objective of the request in seconds. Bytes
        that have arrived are not saved by a refusal, so the inward direction
        does not count.
        """
        queue_s = self._outward.wait_s(self._clock())
        own_s = body_bytes / self._rate
        wait_s = queue_s + own_s
        if own_s <= SMALL_BODY_S:
            limit_s = max(objective_s, MAX_SMALL_WAIT_S)
        else:
            limit_s = min(objective_s * MAX_WAIT_SHARE, MAX_WAIT_S)
            limit_s = max(limit_s, MIN_WAIT_S)
        # A body that hardly waits for others would take as long elsewhere.
        if queue_s > LOADED_QUEUE_S and wait_s > limit_s:
            raise HostBusyError(
                f'the network link of this host is busy for {wait_s:.2f} s',
                retry_after_s=self._retry_after_s(queue_s),
            )

    def _retry_after_s(self, queue_s: float) -> float:
        """Return the time until the queue is sent or callers have moved."""
        if not self.is_congested:
            return max(RETRY_AFTER_S, queue_s)
        moved_at = self._congested_at + BALANCER_S
        return max(RETRY_AFTER_S, moved_at - self._clock())

    def _note_congestion(self) -> None:
        now = self._clock()
        waits = (self._inward.wait_s(now), self._outward.wait_s(now))
        if max(waits) <= CONGESTION_QUEUE_S:
            self._long_since = math.inf
            return
        self._long_since = min(self._long_since, now)
        if now - self._long_since < CONGESTION_PERIOD_S:
            return
        if now >= self._congested_until:
            self._begin_congestion(now, waits)
        # Bytes still come while the balancer moves the callers.
        self._congested_until = max(self._congested_until, now + BALANCER_S)

    def _begin_congestion(self, now: float, waits: tuple[float, float]) -> None:
        is_relapse = now - self._congested_until < RELAPSE_S
        if is_relapse and self._congested_at > -math.inf:
            self._hold_s = min(MAX_CONGESTION_HOLD_S, 2 * self._hold_s)
        else:
            self._hold_s = CONGESTION_HOLD_S
        self._congested_at = now
        self._congested_until = now + self._hold_s
        self._was_congested = True
        log.warning(
            'host link congested',
            inward_s=round(waits[0], 3),
            outward_s=round(waits[1], 3),
            hold_s=self._hold_s,
        )

    def _add(self, direction: _Queue, opposite: _Queue, size: int) -> None:
        self._note_congestion()
        now = self._clock()
        on_wire, acks = _on_wire(size)
        direction.add(on_wire, now)
        opposite.add(acks, now)


def _on_wire(size: int) -> tuple[int, int]:
    """Return the bytes with packet headers, and those of acknowledgements."""
    packets = -(-size // PACKET_BYTES)
    return size + packets * PACKET_OVERHEAD_BYTES, packets * ACK_BYTES
