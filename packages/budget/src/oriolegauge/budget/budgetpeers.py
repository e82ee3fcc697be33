"""Interface of the budget manager to the links to other daemons."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from oriolegauge.budget.messages import (
    Ack,
    JournalAnswer,
    JournalAppend,
    JournalQuery,
    Recall,
    RecallAnswer,
    Release,
    Reserve,
    ReserveAnswer,
    Settle,
    SettleAnswer,
)


@dataclass(frozen=True, slots=True)
class BudgetPeer:
    """A live daemon and its availability zone."""

    name: str
    zone: str


class BudgetPeers(Protocol):
    """Call the budget managers of other daemons.

    A call without a reply raises OriolegaugeError, OSError or TimeoutError.
    The message may then have been lost, processed, or still be in transit.
    """

    def members(self) -> Sequence[BudgetPeer]:
        """Return the live daemons except this one."""

    async def reserve(self, peer: str, message: Reserve) -> ReserveAnswer:
        """Call `handle_reserve` of the peer."""

    async def settle(self, peer: str, message: Settle) -> SettleAnswer:
        """Call `handle_settle` of the peer."""

    async def release(self, peer: str, message: Release) -> Ack:
        """Call `handle_release` of the peer."""

    async def recall(self, peer: str, message: Recall) -> RecallAnswer:
        """Call `handle_recall` of the peer."""

    async def append_journal(self, peer: str, message: JournalAppend) -> Ack:
        """Call `handle_journal_append` of the peer."""

    async def query_journals(
        self, message: JournalQuery
    ) -> Sequence[JournalAnswer]:
        """Call `handle_journal_query` of all reachable peers."""


class NoBudgetPeers:
    """Peers of a daemon that runs alone."""

    def members(self) -> Sequence[BudgetPeer]:
        """Return no daemons."""
        return ()

    async def query_journals(
        self, message: JournalQuery
    ) -> Sequence[JournalAnswer]:
        """Return no answers."""
        return ()
