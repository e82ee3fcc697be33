"""Grants of this daemon: drawn ahead, spent locally, returned when idle."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import structlog

from oriolegauge.grants.errors import (
    GrantUnavailableError,
    PrepaidExhaustedError,
)
from oriolegauge.grants.grantbook import GrantBook, GrantEntry, Wanted
from oriolegauge.grants.teamaccount import (
    HIGH_SHARE,
    LOW_SHARE,
    TeamAccount,
)
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreError,
    VersionConflictError,
)

TICK_S = 1.0
# A store that failed is left alone by requests for this time; the tick goes on
# asking.
STORE_PAUSE_S = 1.0
# A team whose pool could not meet a need is not asked for again for this time;
# meanwhile its needs are met by peers.
EMPTY_POOL_PAUSE_S = 0.5
# A write for one team tops up the others that are below this part of their
# target, so that they need no write of their own soon.
TOP_UP_SHARE = 0.8
# Races between daemons that write the same object; each retry costs a call.
MAX_CONFLICTS = 8
# Unspent tokens of others count for 3% of the prepaid amount at the end, so a
# team is told that its budget is spent only when less than this is unspent.
UNSPENT_SHARE = 0.03
RETRY_AFTER_S = 0.4

log = structlog.get_logger()


class GrantPeers(Protocol):
    """Reach the other daemons."""

    @property
    def members(self) -> int:
        """Return the number of daemons, this one included."""

    async def ask(self, team: str, tokens: int) -> int:
        """Take up to that many unspent tokens of a team from peers."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Hold tokens of a team for one request."""

    team: str
    tokens: int


@dataclass(frozen=True, slots=True)
class _Unresolved:
    entry: GrantEntry
    expected_version: int


@dataclass(frozen=True, slots=True)
class _Shortage:
    prepaid: int = 0
    need: int = 0
    below_target: int = 0
    is_urgent: bool = False


class GrantKeeper:
    """Reserve and settle tokens; keep grants in step with demand."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        key: str,
        holder: str,
        peers: GrantPeers,
        prepaid: Callable[[str], int | None],
        clock: Callable[[], float],
    ) -> None:
        """Act as `holder`, a name that no other process start ever uses.

        `prepaid` returns a team's prepaid tokens, None if it has no budget.
        """
        self._store = store
        self._key = key
        self._holder = holder
        self._peers = peers
        self._prepaid = prepaid
        self._clock = clock
        self._accounts: dict[str, TeamAccount] = {}
        self._needs: dict[str, int] = {}
        self._book = GrantBook()
        self._version = 0
        self._is_known = False
        self._position = 0
        self._unresolved: _Unresolved | None = None
        self._lock = asyncio.Lock()
        self._failed_at = -math.inf
        self._is_lost = False
        self._empty_at: dict[str, float] = {}
        self._writes = 0

    @property
    def free(self) -> Mapping[str, int]:
        """Return the unspent tokens held here per team."""
        return {team: one.free for team, one in self._accounts.items()}

    async def reserve(self, team: str, tokens: int) -> Reservation | None:
        """Set tokens aside, or return None for a team without a budget.

        Raise PrepaidExhaustedError or GrantUnavailableError.
        """
        prepaid = self._prepaid(team)
        if prepaid is None:
            return None
        account = self._account(team)
        account.note_demand(tokens, self._clock())
        if account.reserve(tokens):
            return Reservation(team, tokens)
        await self._draw(team, tokens)
        if account.reserve(tokens):
            return Reservation(team, tokens)
        missing = tokens - account.free
        account.credit(await self._peers.ask(team, missing))
        if account.reserve(tokens):
            return Reservation(team, tokens)
        raise self._refusal(team, tokens, prepaid)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Charge the tokens used and free the rest."""
        account = self._account(reservation.team)
        account.settle(reservation.tokens, used)

    def give(self, team: str, tokens: int) -> int:
        """Hand unspent tokens to a peer; they are the peer's afterwards."""
        account = self._accounts.get(team)
        return account.take_free(tokens) if account else 0

    async def run(self) -> None:
        """Adjust the grants until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._wanted_now() or self._returns_now():
                await self._write()

    async def close(self) -> None:
        """Return all unspent tokens; no request may be reserved after."""
        async with self._lock:
            returned = {
                team: account.take_free(account.free)
                for team, account in self._accounts.items()
                if account.free
            }
            if returned:
                await self._write_entry({}, returned)

    async def _draw(self, team: str, tokens: int) -> None:
        if self._is_pausing(team):
            return
        writes = self._writes
        self._needs[team] = self._needs.get(team, 0) + tokens
        try:
            # A write that starts after this point includes the need.
            async with self._lock:
                if self._writes == writes:
                    await self._write_locked()
                if self._account(team).free < tokens:
                    self._empty_at[team] = self._clock()
        finally:
            self._lower_need(team, tokens)

    def _is_pausing(self, team: str) -> bool:
        now = self._clock()
        store_pause = now - self._failed_at < STORE_PAUSE_S
        empty_at = self._empty_at.get(team, -math.inf)
        return store_pause or now - empty_at < EMPTY_POOL_PAUSE_S

    def _lower_need(self, team: str, tokens: int) -> None:
        left = self._needs.get(team, 0) - tokens
        if left > 0:
            self._needs[team] = left
        else:
            self._needs.pop(team, None)

    async def _write(self) -> None:
        async with self._lock:
            await self._write_locked()

    async def _write_locked(self) -> None:
        wanted = self._wanted_now()
        returned = {
            team: self._accounts[team].take_free(tokens)
            for team, tokens in self._returns_now().items()
        }
        if wanted or returned:
            await self._write_entry(wanted, returned)

    async def _write_entry(
        self, wanted: Mapping[str, Wanted], returned: Mapping[str, int]
    ) -> None:
        """Write one entry; without certainty its tokens stay unusable."""
        self._writes += 1
        try:
            await self._write_or_raise(wanted, returned)
        except StoreError as error:
            if not self._is_lost:
                log.warning('store lost for grants', error=error.message)
            self._is_lost = True
            self._failed_at = self._clock()
            if not isinstance(error, StoreAnswerLostError):
                self._take_back(returned)
            return
        if self._is_lost:
            log.info('store regained for grants', version=self._version)
        self._is_lost = False
        self._failed_at = -math.inf

    async def _write_or_raise(
        self, wanted: Mapping[str, Wanted], returned: Mapping[str, int]
    ) -> None:
        for _ in range(MAX_CONFLICTS):
            if self._unresolved or not self._is_known:
                self._adopt(await self._store.get(self._key))
            entry = GrantEntry(
                holder=self._holder,
                position=self._position + 1,
                wanted=wanted,
                returned=returned,
                settled=self._settled(),
            )
            if await self._put(entry):
                return
        raise VersionConflictError('too many daemons write the grants')

    async def _put(self, entry: GrantEntry) -> bool:
        changed = self._book.apply(entry)
        expected = self._version
        try:
            stored = await self._store.put(
                self._key, changed.to_value(), expected
            )
        except VersionConflictError as conflict:
            if conflict.current is None:
                self._adopt(await self._store.get(self._key))
            else:
                self._adopt(conflict.current)
            return False
        except (StoreAnswerLostError, asyncio.CancelledError):
            self._position = entry.position
            self._unresolved = _Unresolved(entry, expected)
            raise
        # A lost write that this one did not find can't be applied any more.
        self._drop_lost()
        self._position = entry.position
        self._book = changed
        self._version = stored.version
        self._credit(entry, changed)
        return True

    def _adopt(self, found: StoredObject | None) -> None:
        """Take over a version read and settle what it says of a lost write."""
        self._is_known = True
        if found is None:
            self._book = GrantBook()
            self._version = 0
        else:
            self._book = GrantBook.from_value(found.value)
            self._version = found.version
        lost = self._unresolved
        if lost is None:
            return
        if self._book.position(self._holder) >= lost.entry.position:
            self._unresolved = None
            self._credit(lost.entry, self._book)
        elif self._version != lost.expected_version:
            # Its condition can't hold any more, so it will never be applied.
            self._drop_lost()

    def _drop_lost(self) -> None:
        lost = self._unresolved
        self._unresolved = None
        if lost:
            self._take_back(lost.entry.returned)

    def _take_back(self, returned: Mapping[str, int]) -> None:
        for team, tokens in returned.items():
            self._account(team).credit(tokens)

    def _credit(self, entry: GrantEntry, book: GrantBook) -> None:
        granted = book.last[self._holder].granted
        for team, tokens in granted.items():
            self._account(team).credit(tokens)
        for team, tokens in entry.settled.items():
            self._account(team).report(tokens)
        log.info(
            'grants changed',
            version=self._version,
            position=entry.position,
            granted=dict(granted),
            returned=dict(entry.returned),
        )

    def _settled(self) -> Mapping[str, int]:
        return {
            team: account.unreported
            for team, account in self._accounts.items()
            if account.unreported
        }

    def _wanted_now(self) -> dict[str, Wanted]:
        """Return what to draw, or nothing while no team is short."""
        shortages = {
            team: self._shortage(team, account)
            for team, account in self._accounts.items()
        }
        if not any(shortage.is_urgent for shortage in shortages.values()):
            return {}
        return {
            team: Wanted(
                tokens=shortage.need + shortage.below_target,
                minimum=shortage.need,
                prepaid=shortage.prepaid,
            )
            for team, shortage in shortages.items()
            if shortage.need or shortage.below_target
        }

    def _shortage(self, team: str, account: TeamAccount) -> _Shortage:
        prepaid = self._prepaid(team)
        if prepaid is None:
            return _Shortage()
        need = max(0, self._needs.get(team, 0) - account.free)
        if self._is_known and not self._book.ample(team, prepaid):
            return _Shortage(prepaid, need, 0, is_urgent=need > 0)
        target = self._target(account, prepaid)
        has_enough = account.free >= target * TOP_UP_SHARE
        return _Shortage(
            prepaid,
            need,
            0 if has_enough else int(target - account.free),
            is_urgent=need > 0 or account.free < target * LOW_SHARE,
        )

    def _returns_now(self) -> dict[str, int]:
        """Return what is held beyond the target while the pool is short."""
        returns = {}
        for team, account in self._accounts.items():
            prepaid = self._prepaid(team) or 0
            if self._book.ample(team, prepaid):
                continue
            target = self._target(account, prepaid)
            spare = account.free - max(target, self._needs.get(team, 0))
            if spare > target * (HIGH_SHARE - 1):
                returns[team] = spare
        return returns

    def _target(self, account: TeamAccount, prepaid: int) -> int:
        return account.target(
            prepaid=prepaid,
            members=self._peers.members,
            now=self._clock(),
        )

    def _refusal(
        self, team: str, tokens: int, prepaid: int
    ) -> PrepaidExhaustedError | GrantUnavailableError:
        free = self._book.free(team, prepaid)
        unspent = self._book.unspent(team, prepaid)
        unspent -= self._account(team).unreported
        log.info(
            'grant refused',
            team=team,
            tokens=tokens,
            prepaid=prepaid,
            unspent=unspent,
            pool=free,
            held=self._account(team).free,
            version=self._version,
            store_lost=self._is_lost,
        )
        if unspent < tokens + prepaid * UNSPENT_SHARE:
            return PrepaidExhaustedError(
                f'{unspent} of {prepaid} prepaid tokens are unspent'
            )
        return GrantUnavailableError(
            f'no grant of {tokens} tokens at the moment',
            retry_after_s=RETRY_AFTER_S,
        )

    def _account(self, team: str) -> TeamAccount:
        account = self._accounts.get(team)
        if account is None:
            account = TeamAccount(self._clock())
            self._accounts[team] = account
        return account
