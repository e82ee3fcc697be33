"""Slow start of servers that join a service."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from oriolegauge.routing.candidate import Candidate

# Time in which the share of a server that has joined rises to that of the
# others: it is slow at first and has cached no shared part.
RAMP_S = 5.0
FIRST_SHARE = 0.1
# Servers seen within this time after the first ones were there before.
SETTLED_S = 5.0


@dataclass(slots=True)
class _Service:
    since: float
    names: set[str] = field(default_factory=set)
    joined: dict[str, float] = field(default_factory=dict)


class SlowStart:
    """Leave joined servers out of some placements."""

    def __init__(self, rng: random.Random) -> None:
        """Start without servers."""
        self._rng = rng
        self._services: dict[str, _Service] = {}

    def ready(
        self, candidates: Sequence[Candidate], now: float
    ) -> Sequence[Candidate]:
        """Return the servers of a service that may take this request."""
        known = self._services.setdefault(
            candidates[0].service, _Service(since=now)
        )
        for candidate in candidates:
            if candidate.name not in known.names:
                known.names.add(candidate.name)
                if now - known.since > SETTLED_S:
                    known.joined[candidate.name] = now
        if not known.joined:
            return candidates
        known.joined = {
            name: at for name, at in known.joined.items() if now - at < RAMP_S
        }
        return [
            candidate
            for candidate in candidates
            if self._rng.random() < _share(known, candidate.name, now)
        ] or candidates

    def forget(self, name: str) -> None:
        """Treat the server as one that joins when it is seen next."""
        for known in self._services.values():
            known.names.discard(name)
            known.joined.pop(name, None)

    def keep_only(self, names: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        for known in self._services.values():
            for name in known.names.difference(names):
                known.names.discard(name)
                known.joined.pop(name, None)


def _share(known: _Service, name: str, now: float) -> float:
    joined_at = known.joined.get(name)
    if joined_at is None:
        return 1
    return max(FIRST_SHARE, (now - joined_at) / RAMP_S)
