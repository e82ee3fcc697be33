"""Grants of this daemon: drawn ahead, spent locally, returned when idle."""

import asyncio
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
    HELD_SHARE,
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

TICK_S = 0.5
# A store that failed is left alone by requests for this time; the tick goes on
# asking.
STORE_PAUSE_S = 1.0
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
        self._failed_at: float | None = None
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
        failed_at = self._failed_at
        is_pausing = (
            failed_at is not None and self._clock() - failed_at < STORE_PAUSE_S
        )
        if is_pausing:
            return
        writes = self._writes
        self._needs[team] = self._needs.get(team, 0) + tokens
        try:
            # A write that starts after this point includes the need.
            async with self._lock:
                if self._writes == writes:
                    await self._write_locked()
        finally:
            self._lower_need(team, tokens)

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
            if self._failed_at is None:
                log.warning('store lost for grants', error=error.message)
            self._failed_at = self._clock()
            if not isinstance(error, StoreAnswerLostError):
                self._take_back(returned)
            return
        if self._failed_at is not None:
            log.info('store regained for grants', version=self._version)
        self._failed_at = None

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
        share = HELD_SHARE
        wanted = {}
        for team, account in self._accounts.items():
            prepaid = self._prepaid(team)
            if prepaid is None:
                continue
            target = self._target(team, account, prepaid)
            need = max(0, self._needs.get(team, 0) - account.free)
            if need or account.free < target * LOW_SHARE:
                wanted[team] = Wanted(
                    tokens=max(need, need + target - account.free),
                    minimum=need,
                    prepaid=prepaid,
                    free_share=share,
                )
        return wanted

    def _returns_now(self) -> dict[str, int]:
        returns = {}
        for team, account in self._accounts.items():
            prepaid = self._prepaid(team)
            target = self._target(team, account, prepaid) if prepaid else 0
            spare = account.free - max(target, self._needs.get(team, 0))
            if account.free > target * HIGH_SHARE and spare > 0:
                returns[team] = spare
        return returns

    def _target(self, team: str, account: TeamAccount, prepaid: int) -> int:
        return account.target(
            free_in_pool=self._book.free(team, prepaid),
            prepaid=prepaid,
            members=self._peers.members,
            now=self._clock(),
        )

    def _refusal(
        self, team: str, tokens: int, prepaid: int
    ) -> PrepaidExhaustedError | GrantUnavailableError:
        settled = self._book.settled.get(team, 0)
        unspent = prepaid - settled - self._account(team).unreported
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
