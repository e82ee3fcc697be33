"""Calls between daemons about grants of prepaid tokens."""

import asyncio
from collections.abc import Iterable, Mapping

import structlog

from oriolegauge.budget.messages import Ack
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.rendezvous import rank
from oriolegauge.core.runstate import RunState
from oriolegauge.core.taskset import TaskSet
from oriolegauge.gateway.fleetlayout import FULL_MESH_MEMBERS
from oriolegauge.gateway.fleetlinks import FleetLinks
from oriolegauge.gateway.ledgerdocument import (
    LEDGER_DOCUMENT,
    ledger_copy,
    ledger_document,
)
from oriolegauge.gateway.shareddocuments import DamagedDocumentError, Document
from oriolegauge.grants import (
    DrawRequest,
    DrawResult,
    GrantKeeper,
    LedgerCopy,
    Renewal,
    Renewed,
    ReservePart,
)
from oriolegauge.wire.messages import (
    UNKNOWN_TOKENS,
    ConfigFetch,
    ConfigObjects,
    GrantDraw,
    GrantGiven,
    GrantHandOver,
    GrantLoan,
    Message,
    ReserveRenewal,
    ReserveRenewed,
    TeamPart,
    TeamTokens,
)

# Much longer than requests wait for tokens, since tokens in a reply that
# arrives after the timeout are stranded.
ANSWER_TIMEOUT_S = 3.0
HAND_OVER_TIMEOUT_S = 0.5
# Draws wait while the ledgers of peers are fetched.
FETCH_TIMEOUT_S = 0.4
# Granted tokens wait until a peer remembers the ledger, but not longer: the
# peers may be frozen.
SHARE_TIMEOUT_S = 0.1
MAX_LEDGER_COPIES = 2
# A renewal waits for the next write to the store, which may need a retry.
RENEW_TIMEOUT_S = 1.5
# Peers tried one after the other if the allocator can't reach the store. Each
# may take the full time of a draw.
MAX_FALLBACK_ALLOCATORS = 2

log = structlog.get_logger()


class GrantLinks:
    """Send and serve draws, loans and transfers of prepaid tokens."""

    def __init__(self, *, name: str, links: FleetLinks) -> None:
        """Act for the daemon `name`; call `attach` before use."""
        self._name = name
        self._links = links
        self._keeper: GrantKeeper | None = None
        self._tasks = TaskSet()
        # The last ledger that was packed; many peers get the same one.
        self._packed: Document | None = None

    def attach(self, keeper: GrantKeeper) -> None:
        """Serve requests of peers from this keeper."""
        self._keeper = keeper
        self._links.provide_document(LEDGER_DOCUMENT, self._ledger_document)

    async def answer(self, message: Message) -> Message | None:
        """Answer a message of a peer."""
        keeper = self._keeper
        if keeper is None:
            return Ack(accepted=False)
        match message:
            case GrantDraw(team=team):
                given = await keeper.serve_draw(
                    DrawRequest(
                        team=team,
                        need=message.need,
                        ahead=message.ahead,
                        spent=message.spent,
                    )
                )
                unspent = given.unspent
                return GrantGiven(
                    team=team,
                    tokens=given.tokens,
                    reached_store=given.reached_store,
                    unspent=UNKNOWN_TOKENS if unspent is None else unspent,
                    opens_in_s=given.opens_in_s,
                )
            case GrantLoan(team=team, tokens=0):
                return GrantGiven(
                    team=team, tokens=0, unspent=keeper.lendable(team)
                )
            case GrantLoan(team=team, tokens=tokens):
                return GrantGiven(
                    team=team,
                    tokens=keeper.lend(team, tokens),
                )
            case GrantHandOver(team=team, tokens=tokens):
                keeper.take_over(team, tokens)
                return Ack(accepted=True)
            case ReserveRenewed():
                return Ack(accepted=self._remember(message))
            case ReserveRenewal():
                renewed = await keeper.renew(_renewal(message))
                written = renewed and renewed.written
                return _renewed(
                    message.number, renewed, written and self._pack(written)
                )
            case _:
                return Ack(accepted=False)

    async def wait_for_members(self) -> None:
        """Wait until the members were listed, or a timeout after the start."""
        await self._links.wait_for_members()

    def allocator(self) -> str | None:
        """Return the peer that writes the ledger, None if it is this one."""
        found = self._links.allocator()
        if found == self._name:
            return None
        self._links.open_link(found)
        return found

    def is_cut_off(self) -> bool:
        """State whether this daemon is not linked to the fleet."""
        return self._links.is_cut_off

    def fallback_allocators(self) -> list[str]:
        """Return other leaders and then peers that reach the store."""
        skipped = {self._name, self._links.allocator()}
        leaders = self._links.reserve_hosts()
        reaching = rank(self._name, self._links.reaching_store())
        return [
            name
            for name in dict.fromkeys((*leaders, *reaching))
            if name not in skipped
        ][:MAX_FALLBACK_ALLOCATORS]

    def holds_reserve(self) -> bool:
        """State whether this daemon holds a reserve, as leaders do."""
        return self._name in self._links.reserve_hosts()

    async def renew(self, peer: str, renewal: Renewal) -> Renewed | None:
        """Ask the peer to renew a reserve; return None if unconfirmed."""
        message = ReserveRenewal(
            host=renewal.host,
            holder=renewal.holder,
            started=renewal.started,
            stamp=renewal.stamp,
            number=renewal.number,
            believed=_rows(renewal.believed),
            opened=tuple(
                TeamTokens(team, count)
                for team, count in renewal.opened.items()
            ),
        )
        try:
            answer = await self._links.call(peer, message, RENEW_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info('reserve renewal failed', peer=peer, error=error.message)
            return None
        if not isinstance(answer, ReserveRenewed) or not answer.written:
            return None
        return Renewed(
            answer.number,
            _parts(answer.held),
            _parts(answer.targets),
            self._unpack(peer, answer.ledger_version, answer.ledger),
        )

    async def draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        """Return the tokens given, or None if the peer can't be reached.

        Tokens in a lost reply are stranded. That never lets a team overspend.
        """
        message = GrantDraw(
            team=draw.team, need=draw.need, ahead=draw.ahead, spent=draw.spent
        )
        try:
            answer = await self._links.call(peer, message, ANSWER_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info(
                'grant draw failed',
                team=draw.team,
                peer=peer,
                error=error.message,
            )
            return None
        if not isinstance(answer, GrantGiven):
            return None
        if not answer.reached_store:
            self._links.note_store_unavailable(peer)
        return DrawResult(
            answer.tokens,
            reached_store=answer.reached_store,
            unspent=(
                None if answer.unspent == UNKNOWN_TOKENS else answer.unspent
            ),
            opens_in_s=answer.opens_in_s,
        )

    def note_unresponsive(self, peer: str) -> None:
        """Note that a peer did not answer in time."""
        self._links.note_unresponsive(peer)

    async def lendable(self, peer: str, team: str) -> int | None:
        """Return what the peer can lend, or None if it does not tell.

        Asks for a loan of no tokens.
        """
        answer = await self._loan(peer, team, 0)
        if answer is None:
            return 0
        return None if answer.unspent == UNKNOWN_TOKENS else answer.unspent

    async def borrow(self, peer: str, team: str, tokens: int) -> int:
        """Return how many unspent tokens of a team the peer lent."""
        answer = await self._loan(peer, team, tokens)
        return answer.tokens if answer else 0

    async def _loan(
        self, peer: str, team: str, tokens: int
    ) -> GrantGiven | None:
        message = GrantLoan(team=team, tokens=tokens)
        try:
            answer = await self._links.call(peer, message, ANSWER_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info(
                'grant loan failed', team=team, peer=peer, error=error.message
            )
            return None
        return answer if isinstance(answer, GrantGiven) else None

    async def is_answering(self, peer: str, team: str) -> bool:
        """Ask a peer to take over no tokens; return whether it answers."""
        message = GrantHandOver(team=team, tokens=0)
        try:
            answer = await self._links.call(peer, message, HAND_OVER_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info(
                'no hand-over, since the peer does not answer',
                team=team,
                peer=peer,
                error=error.message,
            )
            return False
        return isinstance(answer, Ack) and answer.accepted

    async def hand_over(self, peer: str, team: str, tokens: int) -> bool:
        """Send tokens to the peer; return False only if it never got them."""
        if not tokens:
            return True
        message = GrantHandOver(team=team, tokens=tokens)
        try:
            await self._links.call(peer, message, HAND_OVER_TIMEOUT_S)
        except OriolegaugeError as error:
            log.warning(
                'hand-over not confirmed',
                team=team,
                peer=peer,
                tokens=tokens,
                error=error.message,
                run_state=error.run_state,
            )
            return error.run_state is not RunState.NOT_RUN
        return True

    async def share_ledger(self, copy: LedgerCopy) -> None:
        """Have other leaders remember a ledger; return once one does."""
        linked = self._links.linked_peers()
        leaders = [
            name for name in self._links.reserve_hosts() if name in linked
        ]
        document = self._pack(copy)
        message = ReserveRenewed(
            number=0,
            written=True,
            ledger_version=document.revision,
            ledger=document.packed,
        )
        shares = {
            self._tasks.spawn(self._share(peer, message))
            for peer in leaders[:MAX_LEDGER_COPIES]
        }
        until = asyncio.get_running_loop().time() + SHARE_TIMEOUT_S
        while shares:
            done, shares = await asyncio.wait(
                shares,
                timeout=until - asyncio.get_running_loop().time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done or any(share.result() for share in done):
                return

    async def _share(self, peer: str, message: ReserveRenewed) -> bool:
        try:
            answer = await self._links.call(peer, message, SHARE_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info('ledger not shared', peer=peer, error=error.message)
            return False
        return isinstance(answer, Ack) and answer.accepted

    def _remember(self, message: ReserveRenewed) -> bool:
        keeper = self._keeper
        if keeper is None or not message.ledger:
            return False
        copy = self._unpack('', message.ledger_version, message.ledger)
        if copy:
            keeper.remember_ledger(copy)
        known = keeper.remembered_ledger
        return known is not None and known.version >= message.ledger_version

    async def remembered_ledgers(self) -> list[LedgerCopy]:
        """Return the newest ledger that each linked peer remembers."""
        peers = self._links.linked_peers()
        found = await asyncio.gather(*map(self._fetch_ledger, peers))
        return [copy for copy in found if copy]

    async def _fetch_ledger(self, peer: str) -> LedgerCopy | None:
        request = ConfigFetch(keys=(LEDGER_DOCUMENT,), knows_eras=True)
        try:
            answer = await self._links.call(peer, request, FETCH_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info('ledger fetch failed', peer=peer, error=error.message)
            return None
        if not isinstance(answer, ConfigObjects) or not answer.objects:
            return None
        row = answer.objects[0]
        return _ledger_copy(peer, row.version, row.value)

    def _ledger_document(self) -> Document | None:
        copy = self._keeper and self._keeper.remembered_ledger
        return self._pack(copy) if copy else None

    def _pack(self, copy: LedgerCopy) -> Document:
        packed = self._packed
        if packed is None or packed.revision != copy.version:
            packed = self._packed = ledger_document(copy)
        return packed

    def _unpack(
        self, peer: str, version: int, packed: bytes
    ) -> LedgerCopy | None:
        """Return a ledger from a peer unless it is known here."""
        known = self._keeper and self._keeper.remembered_ledger
        if known and known.version >= version:
            return None
        return _ledger_copy(peer, version, packed)

    def lenders(self) -> set[str]:
        """Return peers to borrow from: all in a small fleet, else leaders."""
        if self._links.members <= FULL_MESH_MEMBERS:
            return self._links.linked_peers()
        lenders = {*self._links.reserve_hosts(), self._links.allocator()}
        lenders.discard(self._name)
        for name in lenders:
            self._links.open_link(name)
        return lenders


def _rows(parts: Mapping[str, ReservePart]) -> tuple[TeamPart, ...]:
    return tuple(
        TeamPart(team, part.tokens, part.open_s) for team, part in parts.items()
    )


def _parts(rows: Iterable[TeamPart]) -> Mapping[str, ReservePart]:
    return {row.team: ReservePart(row.tokens, row.open_s) for row in rows}


def _renewal(message: ReserveRenewal) -> Renewal:
    return Renewal(
        host=message.host,
        holder=message.holder,
        started=message.started,
        stamp=message.stamp,
        number=message.number,
        believed=_parts(message.believed),
        opened={row.team: row.tokens for row in message.opened},
    )


def _renewed(
    number: int, renewed: Renewed | None, written: Document | None
) -> ReserveRenewed:
    if renewed is None:
        return ReserveRenewed(number=number, written=False)
    return ReserveRenewed(
        number=number,
        written=True,
        held=_rows(renewed.held),
        targets=_rows(renewed.targets),
        ledger_version=written.revision if written else 0,
        ledger=written.packed if written else b'',
    )


def _ledger_copy(peer: str, version: int, packed: bytes) -> LedgerCopy | None:
    if not packed:
        return None
    try:
        return ledger_copy(version, packed)
    except DamagedDocumentError as error:
        log.warning('damaged ledger', peer=peer, error=str(error))
        return None
