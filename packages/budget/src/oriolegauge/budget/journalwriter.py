"""Copy settlements to peers, if possible in other availability zones.

The copies let peers bill the settlements if this process crashes before it
writes them to the store, or if its zone fails.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from oriolegauge.budget.budgetpeers import BudgetPeers
from oriolegauge.budget.messages import (
    DeferredSettle,
    JournalAppend,
    JournalEntry,
    JournalFloor,
)
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.rendezvous import rank

COPIES = 2
"""Peers that copy each settlement."""

CANDIDATES_MAX = 5
"""Peers tried until two have copied a settlement."""

APPEND_TIMEOUT_S = 0.1
"""Timeout of a call to a peer; a round trip between zones takes 3 ms."""

BATCH_MAX = 500
"""Entries in one message, about 50 kB."""

PEER_BACKOFF_S = 1.0
"""Time after a failed call during which other peers are preferred."""

UNRESPONSIVE_PEERS_MAX = 1_000
"""Unresponsive peers kept; beyond it the list is cleared."""

PEER_ERRORS = (OriolegaugeError, OSError, TimeoutError)


@dataclass(slots=True)
class _Batch:
    entries: list[JournalEntry] = field(default_factory=list)
    deferred: list[DeferredSettle] = field(default_factory=list)
    sent: asyncio.Future[bool] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def is_full(self) -> bool:
        return len(self.entries) + len(self.deferred) >= BATCH_MAX


class JournalWriter:
    """Send copies to peers; each peer gets one message at a time."""

    def __init__(
        self,
        *,
        origin: str,
        zone: str,
        peers: BudgetPeers,
        floors: Callable[[Iterable[str]], tuple[JournalFloor, ...]],
    ) -> None:
        """Copy for the process `origin`; `floors` returns stored positions."""
        self._origin = origin
        self._zone = zone
        self._peers = peers
        self._floors = floors
        self._queues: dict[str, list[_Batch]] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}
        self._unresponsive_at: dict[str, float] = {}
        self.short_of_copies = 0

    async def copy(
        self, item: JournalEntry | DeferredSettle, *, avoid: str = ''
    ) -> int:
        """Copy the item to two peers except `avoid`; return the copies made."""
        candidates = self._candidates(avoid)
        copies = 0
        while candidates and copies < COPIES:
            chosen = candidates[: COPIES - copies]
            candidates = candidates[len(chosen) :]
            sent = await asyncio.gather(
                *(self._enqueue(peer, item) for peer in chosen)
            )
            copies += sum(sent)
        if copies < COPIES:
            self.short_of_copies += 1
        return copies

    async def announce(
        self,
        *,
        resolved: tuple[str, ...] = (),
        closing: bool = False,
        floors: tuple[JournalFloor, ...] = (),
    ) -> int:
        """Tell the usual peers what is stored or resolved, or of a shutdown.

        Return the number of peers that confirmed.
        """
        message = JournalAppend(
            origin=self._origin,
            floors=floors,
            resolved=resolved,
            closing=closing,
        )
        sent = await asyncio.gather(
            *(self._send(peer, message) for peer in self._candidates(''))
        )
        return sum(sent)

    def _candidates(self, avoid: str) -> list[str]:
        members = [one for one in self._peers.members() if one.name != avoid]
        other_zones = [one.name for one in members if one.zone != self._zone]
        same_zone = [one.name for one in members if one.zone == self._zone]
        ranked = rank(self._origin, other_zones) + rank(self._origin, same_zone)
        now = asyncio.get_running_loop().time()
        unresponsive = [
            name
            for name in ranked
            if now - self._unresponsive_at.get(name, -PEER_BACKOFF_S)
            < PEER_BACKOFF_S
        ]
        answering = [name for name in ranked if name not in unresponsive]
        return (answering + unresponsive)[:CANDIDATES_MAX]

    async def _enqueue(
        self, peer: str, item: JournalEntry | DeferredSettle
    ) -> bool:
        queue = self._queues.setdefault(peer, [])
        if not queue or queue[-1].is_full:
            queue.append(_Batch())
        batch = queue[-1]
        match item:
            case JournalEntry():
                batch.entries.append(item)
            case DeferredSettle():
                batch.deferred.append(item)
        if peer not in self._senders:
            self._senders[peer] = asyncio.create_task(self._drain(peer))
        return await asyncio.shield(batch.sent)

    async def _drain(self, peer: str) -> None:
        queue = self._queues[peer]
        while queue:
            batch = queue.pop(0)
            holders = {one.holder for one in batch.entries}
            batch.sent.set_result(
                await self._send(
                    peer,
                    JournalAppend(
                        origin=self._origin,
                        entries=tuple(batch.entries),
                        deferred=tuple(batch.deferred),
                        floors=self._floors(holders),
                    ),
                )
            )
        self._queues.pop(peer)
        self._senders.pop(peer)

    async def _send(self, peer: str, message: JournalAppend) -> bool:
        try:
            answer = await asyncio.wait_for(
                self._peers.append_journal(peer, message), APPEND_TIMEOUT_S
            )
        except PEER_ERRORS:
            if len(self._unresponsive_at) >= UNRESPONSIVE_PEERS_MAX:
                self._unresponsive_at.clear()
            self._unresponsive_at[peer] = asyncio.get_running_loop().time()
            return False
        return answer.accepted
