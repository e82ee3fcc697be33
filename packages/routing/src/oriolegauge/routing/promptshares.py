"""Division of the servers of a service between long and short prompts.

Reading a long prompt delays all streams of its engine. Where that can make a
stream late, a share of the servers is preferred for long prompts and the rest
for short ones. The share follows the work of both sorts, which all daemons see
in the same loads.
"""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter, itemgetter

from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.work import LONG_PROMPT_TOKENS, Work

# Share of the longest pause of a route that the reading of a long prompt, and
# of those that wait with it, may take before servers are divided, and from
# which they are divided fully: an engine is up to twice as slow at times. In
# between the preference grows, so that daemons whose learned speeds differ a
# little behave alike.
DIVIDES_FROM = 0.55
DIVIDES_FULLY_AT = 0.75
# More busy servers than this are taken for this share, as counts lag behind.
MAX_BUSY_SHARE = 0.9
# Shares of their time that servers for long prompts read, and of their slots
# that servers for short ones fill, if both sorts have equal room.
READING_SHARE = 0.5
SLOT_SHARE = 0.6
MIN_SHARE, MAX_SHARE = 0.3, 0.85
INITIAL_SHARE = 0.6
# Time in which the share follows a change, several times the length of a
# stream.
SHARE_TIME_CONSTANT_S = 4.0
# The number of servers changes only if the share calls for this many more or
# less.
HYSTERESIS_SERVERS = 0.75
# Weight of a new sample in averages of this daemon's own requests.
SAMPLE_WEIGHT = 0.02


@dataclass(slots=True)
class _Service:
    long_tokens: float = 0
    longest_pause_s: float = math.inf
    long_running: int = 0
    short_running: int = 0
    mean_long_running: float = 0
    mean_short_running: float = 0
    share: float = INITIAL_SHARE
    busy_share: float = 0
    followed_at: float = -math.inf
    long_servers: int = 0
    servers: int = 0
    ordered: tuple[str, ...] = ()
    names: tuple[str, ...] = ()


class PromptShares:
    """Follow the work of long and short prompts; divide servers by it."""

    def __init__(self) -> None:
        """Start without requests."""
        self._services: dict[str, _Service] = {}

    def started(self, service: str, work: Work) -> None:
        """Count a request of this daemon."""
        known = self._services.setdefault(service, _Service())
        # Requests arrive at random times, so they see average counts.
        known.mean_long_running += SAMPLE_WEIGHT * (
            known.long_running - known.mean_long_running
        )
        known.mean_short_running += SAMPLE_WEIGHT * (
            known.short_running - known.mean_short_running
        )
        if work.is_long:
            known.long_running += 1
            weight = SAMPLE_WEIGHT if known.long_tokens else 1
            known.long_tokens += weight * (
                work.prompt_tokens - known.long_tokens
            )
        else:
            known.short_running += 1
            if work.longest_pause_s:
                known.longest_pause_s = work.longest_pause_s

    def ended(self, service: str, work: Work) -> None:
        """Count the end of a request."""
        known = self._services.setdefault(service, _Service())
        if work.is_long:
            known.long_running = max(0, known.long_running - 1)
        else:
            known.short_running = max(0, known.short_running - 1)

    def follow(
        self,
        candidates: Sequence[Candidate],
        *,
        reading: int,
        running: int,
        now: float,
    ) -> None:
        """Follow the loads of a service.

        `reading` servers read long prompts now, and `running` requests run on
        all of them. All daemons that see the same loads get the same share.
        """
        known = self._services.setdefault(candidates[0].service, _Service())
        count = len(candidates)
        own = known.mean_long_running + known.mean_short_running
        short = running * (known.mean_short_running / own if own else 1)
        for_long = reading / READING_SHARE
        for_short = short / SLOT_SHARE / max(1, candidates[0].slots)
        age = max(0, now - known.followed_at)
        weight = (
            SAMPLE_WEIGHT
            if math.isinf(age)
            else 1 - math.exp(-age / SHARE_TIME_CONSTANT_S)
        )
        known.followed_at = now
        known.busy_share += weight * (reading / count - known.busy_share)
        if for_long + for_short:
            wanted = for_long / (for_long + for_short)
            wanted = min(MAX_SHARE, max(MIN_SHARE, wanted))
            known.share += weight * (wanted - known.share)

    def strength(self, service: str, token_s: float) -> float:
        """Return how much long and short prompts should be apart, up to 1."""
        known = self._services.get(service)
        if known is None:
            return 0
        busy_share = min(MAX_BUSY_SHARE, known.busy_share)
        waiting = (busy_share / (1 - busy_share)) ** 2
        reading_s = known.long_tokens * token_s * (1 + waiting)
        return min(
            1.0,
            max(0, reading_s / known.longest_pause_s - DIVIDES_FROM)
            / (DIVIDES_FULLY_AT - DIVIDES_FROM),
        )

    def preferred(
        self, candidates: Sequence[Candidate], work: Work
    ) -> frozenset[str]:
        """Return the servers preferred for the request."""
        known = self._services.setdefault(candidates[0].service, _Service())
        names = tuple([candidate.name for candidate in candidates])
        if names != known.names:
            known.names = names
            known.ordered = _zones_in_turn(candidates)
        wanted = known.share * len(names)
        if (
            len(names) != known.servers
            or abs(wanted - known.long_servers) > HYSTERESIS_SERVERS
        ):
            known.servers = len(names)
            known.long_servers = min(
                max(1, round(wanted)), max(1, len(names) - 1)
            )
        count = known.long_servers
        ordered = known.ordered
        return frozenset(ordered[:count] if work.is_long else ordered[count:])


def is_reading(pending_tokens: int) -> bool:
    """State whether a server with these unread tokens reads a long prompt."""
    return pending_tokens >= LONG_PROMPT_TOKENS // 2


def _zones_in_turn(candidates: Sequence[Candidate]) -> tuple[str, ...]:
    """Order by the first server of each zone, then the second, and so on."""
    places: Counter[str] = Counter()
    placed: list[tuple[int, str, str]] = []
    for candidate in sorted(candidates, key=attrgetter('name')):
        placed.append((places[candidate.zone], candidate.zone, candidate.name))
        places[candidate.zone] += 1
    return tuple(name for _, _, name in sorted(placed, key=itemgetter(0, 1)))
