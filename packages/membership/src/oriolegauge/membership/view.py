"""Snapshot of the alive members, as seen by one daemon."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

SERVING = 'serving'


class MemberState(StrEnum):
    """Liveness of a member."""

    UNKNOWN = 'unknown'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Last contact with a member, `age_ms` milliseconds ago."""

    member: str
    incarnation: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class AliveMember:
    """Member whose last contact is within the suspicion timeout."""

    name: str
    incarnation: str
    zone: str
    state: str

    @property
    def may_own(self) -> bool:
        """State whether the member may get new requests and shards."""
        return self.state == SERVING


@dataclass(frozen=True, slots=True)
class View:
    """Alive members by name; the version grows with each change."""

    version: int
    members: Mapping[str, AliveMember]

    @property
    def owners(self) -> tuple[str, ...]:
        """Return the names of the members that may get new ownership."""
        return tuple(
            name for name, member in self.members.items() if member.may_own
        )
