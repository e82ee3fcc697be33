"""Durable record of the tokens that were granted out of prepaid budgets.

A grant counts as spent from the write that makes it until its holder returns
the rest, so the record never shows less than was spent, even if every process
dies at once and nobody is left to tell what its grants were used for.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

# Grants ahead of demand leave this share of the unspent tokens in the pool, so
# that the last daemon to ask finds some, and few are stranded when all die.
POOL_SHARE = 0.3
# Holders whose last entry is kept to resolve lost answers. Only holders that
# wait for an answer need theirs, so this is ample for hundreds of daemons.
MAX_POSITIONS = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """Ask for the minimum if it is free, and `tokens` if there is plenty."""

    tokens: int
    minimum: int
    prepaid: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantEntry:
    """Describe one change by a holder; positions rise by one."""

    holder: str
    position: int
    wanted: Mapping[str, Wanted] = field(default_factory=dict)
    returned: Mapping[str, int] = field(default_factory=dict)
    settled: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LastEntry:
    """Keep what the last entry of a holder was granted."""

    position: int
    granted: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class GrantBook:
    """Hold per team the tokens charged, and those known to be spent."""

    charged: Mapping[str, int] = field(default_factory=dict)
    settled: Mapping[str, int] = field(default_factory=dict)
    last: Mapping[str, LastEntry] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> 'GrantBook':
        """Read the stored form; raise KeyError or TypeError if it is none."""
        return cls(
            charged=value['charged'],
            settled=value['settled'],
            last={
                holder: LastEntry(entry[0], entry[1])
                for holder, entry in value['last'].items()
            },
        )

    def to_value(self) -> Mapping[str, Any]:
        """Return the form to store."""
        return {
            'charged': dict(self.charged),
            'settled': dict(self.settled),
            'last': {
                holder: [entry.position, dict(entry.granted)]
                for holder, entry in self.last.items()
            },
        }

    def free(self, team: str, prepaid: int) -> int:
        """Return the tokens that are neither spent nor granted."""
        return max(0, prepaid - self.charged.get(team, 0))

    def unspent(self, team: str, prepaid: int) -> int:
        """Return the tokens that are not known to be spent."""
        return max(0, prepaid - self.settled.get(team, 0))

    def ample(self, team: str, prepaid: int) -> int:
        """Return the tokens that may be granted ahead of demand."""
        kept = int(self.unspent(team, prepaid) * POOL_SHARE)
        return max(0, self.free(team, prepaid) - kept)

    def position(self, holder: str) -> int:
        """Return the last position applied for the holder."""
        entry = self.last.get(holder)
        return entry.position if entry else 0

    def apply(self, entry: GrantEntry) -> 'GrantBook':
        """Return the book after the entry."""
        charged = dict(self.charged)
        for team, tokens in entry.returned.items():
            charged[team] = charged.get(team, 0) - tokens
        granted = {}
        for team, wanted in entry.wanted.items():
            pool = GrantBook(charged, self.settled)
            tokens = _grant(wanted, pool, team)
            if tokens:
                granted[team] = tokens
                charged[team] = charged.get(team, 0) + tokens
        settled = dict(self.settled)
        for team, tokens in entry.settled.items():
            settled[team] = settled.get(team, 0) + tokens
        last = {
            holder: kept
            for holder, kept in self.last.items()
            if holder != entry.holder
        }
        last[entry.holder] = LastEntry(entry.position, granted)
        for holder in list(last)[: max(0, len(last) - MAX_POSITIONS)]:
            del last[holder]
        return GrantBook(charged, settled, last)


def _grant(wanted: Wanted, book: GrantBook, team: str) -> int:
    free = book.free(team, wanted.prepaid)
    ample = min(wanted.tokens, book.ample(team, wanted.prepaid))
    return max(ample, min(wanted.minimum, free))
