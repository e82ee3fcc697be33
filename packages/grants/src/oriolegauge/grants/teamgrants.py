"""Grants of one team: this daemon's account and its writes to the store."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from oriolegauge.grants.grantbook import GrantBook, GrantEntry
from oriolegauge.grants.teamaccount import TeamAccount
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)

# A store that failed is left alone for this time.
STORE_PAUSE_S = 1.0
# A pool that could not meet a need is not asked again for this time;
# meanwhile needs are met by peers.
EMPTY_POOL_PAUSE_S = 0.5
# A call to the store for less than this share of a budget is not worth its
# price: a quarter of a second of an even demand over a day of 34 s.
MIN_AHEAD_SHARE = 0.005
# Races between daemons that write the same object; each retry costs a call.
MAX_CONFLICTS = 8

_UNFIT = (KeyError, TypeError, ValueError, AttributeError)

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Unresolved:
    entry: GrantEntry
    expected_version: int


class TeamGrants:
    """Draw tokens of one team from the store and return them."""

    def __init__(
        self,
        *,
        team: str,
        store: ObjectStore,
        key: str,
        holder: str,
        prepaid: Callable[[], int],
        reaches_store: Callable[[], bool],
        on_written: Callable[[StoredObject], None],
        clock: Callable[[], float],
    ) -> None:
        """Act as `holder`, a name that no other process start ever uses.

        `on_written` gets the book after each write that succeeded.
        """
        self.account = TeamAccount(clock())
        self._team = team
        self._store = store
        self._key = key
        self._holder = holder
        self._prepaid = prepaid
        self._reaches_store = reaches_store
        self._on_written = on_written
        self._clock = clock
        self._book = GrantBook()
        self._version = 0
        self._is_known = False
        self._position = 0
        self._unresolved: _Unresolved | None = None
        self._lock = asyncio.Lock()
        self._need = 0
        self._ahead = 0
        self._writes = 0
        self._failed_at = -math.inf
        self._empty_at = -math.inf
        self._is_lost = False

    @property
    def book(self) -> GrantBook:
        """Return the book as this daemon last saw it."""
        return self._book

    @property
    def version(self) -> int:
        """Return the version of the book, 0 if none was seen."""
        return self._version

    @property
    def is_store_lost(self) -> bool:
        """State whether the store can't be asked, as far as is known."""
        return self._is_lost or not self._reaches_store()

    @property
    def can_draw_ahead(self) -> bool:
        """State whether the pool may hold enough to grant some of it."""
        if not self._is_known:
            return True
        prepaid = self._prepaid()
        ample = self._book.ample(
            prepaid,
            held=self.account.free,
            unreported=self.account.unreported,
        )
        return ample > prepaid * MIN_AHEAD_SHARE

    async def draw(self, need: int, ahead: int) -> None:
        """Draw up to that many tokens into the account.

        Calls that wait for the same write are met by it together.
        """
        now = self._clock()
        is_pausing = (
            not self._reaches_store()
            or now - self._failed_at < STORE_PAUSE_S
            or now - self._empty_at < EMPTY_POOL_PAUSE_S
        )
        if is_pausing or not (need or self.can_draw_ahead):
            return
        writes = self._writes
        self._need += need
        self._ahead += ahead
        try:
            async with self._lock:
                # A write that began after this call has included it.
                if self._writes == writes:
                    await self._write(need=self._need, ahead=self._ahead)
        finally:
            self._need -= need
            self._ahead -= ahead

    def end_pause(self) -> None:
        """Call the store again, though it failed a moment ago."""
        self._failed_at = -math.inf

    def learn(self, found: StoredObject) -> None:
        """Take over a newer book that another daemon has written.

        A write that is on its way is left to meet the newer version itself.
        """
        if found.version <= self._version or self._lock.locked():
            return
        try:
            self._adopt(found)
        except StoreError as error:
            log.warning('unfit grants', team=self._team, error=error.message)

    async def give_back(self) -> None:
        """Return all free tokens to the pool."""
        async with self._lock:
            returned = self.account.take_free(self.account.free)
            if returned:
                await self._write(returned=returned)

    async def _write(
        self, *, need: int = 0, ahead: int = 0, returned: int = 0
    ) -> None:
        """Write one entry; without certainty its tokens stay unusable."""
        self._writes += 1
        try:
            await self._write_or_raise(need, ahead, returned)
        except StoreError as error:
            if not self._is_lost:
                log.warning(
                    'store lost for grants',
                    team=self._team,
                    error=error.message,
                )
            self._is_lost = True
            self._failed_at = self._clock()
            if not isinstance(error, StoreAnswerLostError):
                self.account.credit(returned)
            return
        if self._is_lost:
            log.info('store regained for grants', team=self._team)
        self._is_lost = False
        if need and self.account.free < need:
            self._empty_at = self._clock()

    async def _write_or_raise(
        self, need: int, ahead: int, returned: int
    ) -> None:
        for _ in range(MAX_CONFLICTS):
            if self._unresolved or not self._is_known:
                self._adopt(await self._store.get(self._key))
            settled = self.account.report()
            entry = GrantEntry(
                holder=self._holder,
                position=self._position + 1,
                prepaid=self._prepaid(),
                need=need,
                ahead=ahead,
                returned=returned,
                settled=settled,
                held=self.account.free,
            )
            if await self._put(entry):
                return
            self.account.take_report(settled)
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
        except StoreError:
            self.account.take_report(entry.settled)
            raise
        # A lost write that this one did not find can't be applied any more.
        self._drop_lost()
        self._position = entry.position
        self._book = changed
        self._version = stored.version
        self._credit(entry)
        self._on_written(stored)
        return True

    def _adopt(self, found: StoredObject | None) -> None:
        """Take over a version read and settle what it says of a lost write."""
        book, version = GrantBook(), 0
        if found is not None:
            book, version = self._read(found), found.version
        self._is_known = True
        self._book = book
        self._version = version
        lost = self._unresolved
        if lost is None:
            return
        if self._book.position(self._holder) >= lost.entry.position:
            self._unresolved = None
            self._credit(lost.entry)
        elif self._version != lost.expected_version:
            # Its condition can't hold any more, so it will never be applied.
            self._drop_lost()

    def _read(self, found: StoredObject) -> GrantBook:
        try:
            return GrantBook.from_value(found.value)
        except _UNFIT as error:
            raise StoreUnavailableError(
                f'{self._key} holds no grants: {error!r}'
            ) from error

    def _drop_lost(self) -> None:
        lost = self._unresolved
        self._unresolved = None
        if lost:
            self.account.credit(lost.entry.returned)
            self.account.take_report(lost.entry.settled)

    def _credit(self, entry: GrantEntry) -> None:
        granted = self._book.last[self._holder].granted
        self.account.credit(granted)
        log.info(
            'grant drawn',
            team=self._team,
            granted=granted,
            returned=entry.returned,
            settled=self._book.settled,
            charged=self._book.charged,
            prepaid=entry.prepaid,
            version=self._version,
        )
