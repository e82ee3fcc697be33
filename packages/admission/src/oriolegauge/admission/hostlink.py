"""Admission limit for the network link of the daemon's host.

It matters when one caller sends many long prompts and all its connections
reach one daemon whose link is the smallest of the fleet. Without a limit its
sends queue for seconds, connections to all servers time out and nothing is
served; a request that is rejected at once is retried at another daemon.
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
# The shortest wait that a recent request could bear limits that of all others
# for this time, so that bodies of patient requests leave room for urgent ones.
URGENT_PERIOD_S = 3.0
# Queue above which the link counts as congested and callers should connect
# elsewhere. Leaving the rotation needlessly moves the callers to hosts whose
# links may be smaller, so only bytes from callers count, which a refusal comes
# too late to save.
CONGESTION_QUEUE_S = 0.1
# The queue has to stay above CONGESTION_QUEUE_S for this time. Five long
# prompts of 9 KB at once fill 5 Mbit/s for 0.1 s, which is no flood.
CONGESTION_PERIOD_S = 0.3
# Queue above which a new connection may wait for this host's own link, and up
# to which a body is sent however long it is.
LOADED_QUEUE_S = 0.05
# A longer queue is not counted, so that the estimate recovers soon after a
# flood has ended.
MAX_COUNTED_QUEUE_S = 0.5
# The load balancer notices after two health checks, one a second.
CONGESTION_HOLD_S = 2.5
# Short, because another daemon can serve the request at once.
RETRY_AFTER_S = 0.05
# A refused request reaches a server through another daemon about this much
# later: the caller waits RETRY_AFTER_S, connects and sends the body again. A
# shorter wait for the link is better for the caller than a refusal.
ELSEWHERE_S = 2 * RETRY_AFTER_S
# Time constant of the measured rate of bytes from callers.
RATE_PERIOD_S = 0.5
# Share of the link that answers and the bytes from callers may use together.
# It is above USABLE_SHARE, since answers are spread over seconds and the other
# bytes have arrived without a queue on this host.
SHARED_INWARD = 0.9
# Queue at SHARED_INWARD of the rate from which on the link counts as full
# inward, and the longest that is counted: the estimate has to recover as soon
# as the real queue, which drains at the full rate.
FULL_QUEUE_S = 0.15
MAX_INWARD_QUEUE_S = 0.25
# Share of the link that answers may take, however many bytes arrive from
# callers: MIN_ANSWER_SHARE unless the link is full, LEAST_ANSWER_SHARE always.
MIN_ANSWER_SHARE = 0.15
LEAST_ANSWER_SHARE = 0.05
# Weight of a new sample in the means of a route's answers.
ANSWER_WEIGHT = 0.1
# Shorter answers are booked as if they took this long, as they do not come
# evenly.
MIN_ANSWER_S = 0.25
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


@dataclass(slots=True)
class _Answers:
    """Mean size on the link of a route's answers, and bytes per second."""

    size: float
    per_s: float


class HostLink:
    """Estimate the bytes queued on the link in each direction."""

    def __init__(self, *, mbps: float, clock: Callable[[], float]) -> None:
        """Start idle; `mbps` is the link rate in megabits per second."""
        self._link_rate = mbps * _MEGA / _BITS_PER_BYTE
        self._rate = self._link_rate * USABLE_SHARE
        self._clock = clock
        now = clock()
        self._inward = _Queue(
            self._link_rate * SHARED_INWARD, MAX_INWARD_QUEUE_S, now
        )
        self._outward = _Queue(self._rate, MAX_COUNTED_QUEUE_S, now)
        self._from_callers = _Queue(self._rate, MAX_COUNTED_QUEUE_S, now)
        self._long_since = math.inf
        self._callers_per_s: float = 0
        self._callers_at = now
        self._urgent_limit_s = math.inf
        self._urgent_at = -math.inf
        self._answers: dict[str, _Answers] = {}
        # Bytes per second of all answers that run now.
        self._booked: float = 0
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
        now = self._clock()
        on_wire, acks = _on_wire(size)
        self._inward.add(on_wire, now)
        self._outward.add(acks, now)
        self._note_callers_rate(on_wire)
        self._note_congestion()
        self._from_callers.add(on_wire, now)
        self._note_congestion()

    def received_answer(self, size: int) -> None:
        """Add bytes that were read from a backend server."""
        now = self._clock()
        on_wire, acks = _on_wire(size)
        self._inward.add(on_wire, now)
        self._outward.add(acks, now)

    def sent(self, size: int) -> None:
        """Add bytes that are written to a server or caller."""
        now = self._clock()
        on_wire, acks = _on_wire(size)
        self._outward.add(on_wire, now)
        self._inward.add(acks, now)

    def check(
        self, body_bytes: int, objective_s: float, route: str = ''
    ) -> None:
        """Raise HostBusyError if the request should be sent by another host.

        That is so if its body would wait too long to be sent, or if the answers
        under way leave no room for its answer. `objective_s` is the latency
        objective of the request in seconds.
        """
        limit_s = self._limit_s(objective_s)
        queue_s = self._outward.wait_s(self._clock())
        wait_s = queue_s + body_bytes / self._rate
        # A body that hardly waits for others would take as long elsewhere.
        if queue_s > LOADED_QUEUE_S and wait_s > limit_s:
            raise HostBusyError(
                f'the network link of this host is busy for {wait_s:.2f} s',
                retry_after_s=RETRY_AFTER_S,
            )
        if not self._has_room_for_answer(route, limit_s):
            raise HostBusyError(
                'the network link of this host is busy with answers',
                retry_after_s=RETRY_AFTER_S,
            )

    def begin_answer(self, route: str) -> float:
        """Book the answer of an admitted request; return its bytes per second.

        Pass the returned rate to `end_answer`.
        """
        known = self._answers.get(route)
        per_s = known.per_s if known else 0
        self._booked += per_s
        return per_s

    def end_answer(
        self,
        route: str,
        booked: float,
        *,
        writes: int,
        answer_bytes: int,
        seconds: float,
    ) -> None:
        """End a booking, and learn from the answer if one was sent."""
        self._booked = max(0, self._booked - booked)
        if not writes:
            return
        size = answer_bytes + writes * (PACKET_OVERHEAD_BYTES + ACK_BYTES)
        per_s = size / max(seconds, MIN_ANSWER_S)
        known = self._answers.setdefault(route, _Answers(size, per_s))
        known.size += ANSWER_WEIGHT * (size - known.size)
        known.per_s += ANSWER_WEIGHT * (per_s - known.per_s)

    def _limit_s(self, objective_s: float) -> float:
        """Return the longest wait for the link at which a request is sent."""
        limit_s = max(objective_s * MAX_WAIT_SHARE, ELSEWHERE_S)
        now = self._clock()
        is_outdated = now - self._urgent_at > URGENT_PERIOD_S
        if limit_s <= self._urgent_limit_s or is_outdated:
            self._urgent_limit_s = limit_s
            self._urgent_at = now
        return self._urgent_limit_s

    def _has_room_for_answer(self, route: str, limit_s: float) -> bool:
        """State whether the answer fits beside what callers send.

        An answer below half of the mean of all routes always fits: its refusal
        would free next to nothing.
        """
        answers = self._answers.get(route)
        if answers is None:
            return True
        sizes = [known.size for known in self._answers.values()]
        if answers.size <= sum(sizes) / len(sizes) / 2:
            return True
        # Otherwise other bytes fill the link, as those of a server that never
        # ends its reply, and refusals would not free it.
        if self._booked <= self._link_rate * LEAST_ANSWER_SHARE:
            return True
        if self._is_full_inward:
            return False
        booked = self._booked + answers.per_s
        if booked <= self._link_rate * MIN_ANSWER_SHARE:
            return True
        self._note_callers_rate(0)
        return booked <= self._link_rate * SHARED_INWARD - self._callers_per_s

    @property
    def _is_full_inward(self) -> bool:
        """State whether answers fill the link beside what callers send.

        What waits at the other end of the link is not seen here: a full link
        shows only as bytes that arrive at its rate. If callers fill it alone,
        refusals come too late.
        """
        self._note_callers_rate(0)
        if self._callers_per_s > self._link_rate * SHARED_INWARD:
            return False
        return self._inward.wait_s(self._clock()) > FULL_QUEUE_S

    def _note_callers_rate(self, more_bytes: int) -> None:
        now = self._clock()
        fade = math.exp(-(now - self._callers_at) / RATE_PERIOD_S)
        self._callers_per_s = (
            self._callers_per_s * fade + more_bytes / RATE_PERIOD_S
        )
        self._callers_at = now

    def _note_congestion(self) -> None:
        now = self._clock()
        if self._from_callers.wait_s(now) <= CONGESTION_QUEUE_S:
            self._long_since = math.inf
            return
        self._long_since = min(self._long_since, now)
        if now - self._long_since < CONGESTION_PERIOD_S:
            return
        if now >= self._congested_until:
            self._was_congested = True
            log.warning(
                'host link congested',
                inward_s=round(self._inward.wait_s(now), 3),
                outward_s=round(self._outward.wait_s(now), 3),
                callers_bytes_per_s=round(self._callers_per_s),
            )
        self._congested_until = now + CONGESTION_HOLD_S


def _on_wire(size: int) -> tuple[int, int]:
    """Return the bytes with packet headers, and those of acknowledgements."""
    packets = -(-size // PACKET_BYTES)
    return size + packets * PACKET_OVERHEAD_BYTES, packets * ACK_BYTES
