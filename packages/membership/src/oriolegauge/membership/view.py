"""Members as one daemon sees them at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

SERVING = 'serving'


class MemberState(StrEnum):
    """State what is known of a member."""

    UNKNOWN = 'unknown'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class MemberReport:
    """State how long ago (ms) a member was heard, for the own heartbeat."""

    member: str
    incarnation: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class AliveMember:
    """Describe a member heard within the suspicion time."""

    name: str
    incarnation: str
    zone: str
    state: str

    @property
    def may_own(self) -> bool:
        """State whether the member may become owner of requests and shards."""
        return self.state == SERVING


@dataclass(frozen=True, slots=True)
class View:
    """Hold the members alive by name; the version grows with each change."""

    version: int
    members: Mapping[str, AliveMember]

    @property
    def owners(self) -> tuple[str, ...]:
        """Return the names of members that may get new ownership."""
        return tuple(
            name for name, member in self.members.items() if member.may_own
        )
