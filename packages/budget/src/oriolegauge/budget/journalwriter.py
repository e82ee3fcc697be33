"""Copying of settlements to peers in other availability zones."""

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
"""Wait for one peer; a round trip between zones takes 3 ms."""

BATCH_MAX = 500
"""Entries in one message, about 50 kB."""

SILENCE_S = 1.0
"""Time after a call without an answer during which others are preferred."""

SILENT_MAX = 1_000
"""Peers remembered as silent."""

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
    """Send copies to peers, one message at a time and peer."""

    def __init__(
        self,
        *,
        origin: str,
        zone: str,
        peers: BudgetPeers,
        floors: Callable[[Iterable[str]], tuple[JournalFloor, ...]],
    ) -> None:
        """Copy for the process `origin`; `floors` states what is stored."""
        self._origin = origin
        self._zone = zone
        self._peers = peers
        self._floors = floors
        self._queues: dict[str, list[_Batch]] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}
        self._silent: dict[str, float] = {}
        self.short_of_copies = 0

    async def copy(
        self, item: JournalEntry | DeferredSettle, *, avoid: str = ''
    ) -> int:
        """Copy the item to two peers but `avoid`; return the copies made."""
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
        """Tell all usual targets what is stored, resolved or closing."""
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
        silent = [
            name
            for name in ranked
            if now - self._silent.get(name, -SILENCE_S) < SILENCE_S
        ]
        answering = [name for name in ranked if name not in silent]
        return (answering + silent)[:CANDIDATES_MAX]

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
            if len(self._silent) >= SILENT_MAX:
                self._silent.clear()
            self._silent[peer] = asyncio.get_running_loop().time()
            return False
        return answer.accepted
