"""Conditional writes of the ledger by one process.

Matters when daemons write at the same time and when the store loses answers: a
write without an answer may still be applied. A store that comes back from an
older copy gets the newest ledger that a daemon remembers.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, replace

import structlog

from oriolegauge.grants.grantledger import GrantLedger, LedgerEntry
from oriolegauge.grants.ledgerrecovery import (
    LedgerCopy,
    continued,
    is_restored,
    lacks,
    with_remembered,
)
from oriolegauge.objectstore import (
    RestorableStore,
    StoreAnswerLostError,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
    era_of,
)

# Attempts when other daemons write the ledger too; each costs a store call.
MAX_CONFLICTS = 8
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

EntryBuilder = Callable[[GrantLedger, int], LedgerEntry]

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Written:
    """Hold an entry of the ledger and the tokens granted, by team."""

    entry: LedgerEntry
    granted: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class _UnconfirmedWrite:
    written: Written
    expected_version: int


class LedgerWriter:
    """Write entries one after the other; calls must not overlap.

    A write whose answer was lost may be applied later. Its tokens are not used
    before the ledger shows that it was applied; its reports are made again once
    it can't be applied any more.
    """

    def __init__(
        self,
        *,
        store: RestorableStore,
        key: str,
        holder: str,
        on_resolved: Callable[[Written, bool], None],
        is_first_start: bool,
        remembered_by_peers: Callable[[], Awaitable[Sequence[LedgerCopy]]],
        prepaid: Callable[[str], int | None],
    ) -> None:
        """Write as `holder`, a name that no other process start ever uses.

        `remembered_by_peers` returns the newest ledger that each of them has.
        `on_resolved` is called for each write whose answer was lost, with
        whether it was applied.
        """
        self._store = store
        self._key = key
        self._holder = holder
        self._on_resolved = on_resolved
        self._is_first_start = is_first_start
        self._remembered_by_peers = remembered_by_peers
        self._prepaid = prepaid
        self._remembered: LedgerCopy | None = None
        self._knows_more = False
        self._ledger = GrantLedger()
        self._version = 0
        self._is_known = False
        self._position = 0
        self._unconfirmed: _UnconfirmedWrite | None = None

    @property
    def ledger(self) -> GrantLedger:
        """Return the ledger as last read or written by this process."""
        return self._ledger

    @property
    def version(self) -> int:
        """Return the version of the ledger, 0 if it was never seen."""
        return self._version

    @property
    def is_known(self) -> bool:
        """State whether the ledger was read or written."""
        return self._is_known

    @property
    def remembered(self) -> LedgerCopy | None:
        """Return the newest ledger that the store has confirmed."""
        return self._remembered

    @property
    def is_forgotten(self) -> bool:
        """State whether the store came back from a copy since."""
        known = self._remembered
        return known is not None and era_of(known.version) < self._store.era

    @property
    def knows_more(self) -> bool:
        """State whether a peer continued the ledger without this daemon's."""
        return self._knows_more

    def remember(self, copy: LedgerCopy) -> None:
        """Remember a ledger that the store has confirmed to a peer."""
        known = self._remembered
        if known and lacks(copy, known):
            # Kept until this daemon has written what the other ledger lacks.
            self._knows_more = True
        elif known is None or copy.version > known.version:
            self._remembered = copy

    async def write(self, build_entry: EntryBuilder) -> Written:
        """Write the entry that `build_entry(ledger, position)` returns.

        After a conflict the entry is built again from the current ledger. Raise
        StoreAnswerLostError if the entry may have been written, and another
        StoreError if it was not.
        """
        for _ in range(MAX_CONFLICTS):
            if self._unconfirmed or not self._is_known:
                await self._load(await self._store.get(self._key))
            entry = build_entry(self._ledger, self._position + 1)
            written = await self._put(entry)
            if written:
                return written
        raise VersionConflictError(
            'ledger write gave up after repeated version conflicts'
        )

    async def _put(self, entry: LedgerEntry) -> Written | None:
        changed, granted = self._ledger.apply(entry)
        changed = replace(changed, era=self._store.era)
        written = Written(entry, granted)
        expected = self._version
        try:
            stored = await self._store.put(
                self._key, changed.to_value(), expected
            )
        except VersionConflictError as conflict:
            found = conflict.current or await self._store.get(self._key)
            await self._load(found)
            return None
        except StoreAnswerLostError:
            self._position = entry.position
            self._unconfirmed = _UnconfirmedWrite(written, expected)
            raise
        # This write succeeded at the version that an earlier unconfirmed one
        # expected, so that one can't be applied any more.
        self._resolve(was_applied=False)
        self._position = entry.position
        self._ledger = changed
        self._version = stored.version
        self._remembered = LedgerCopy(stored.version, changed)
        self._knows_more = False
        return written

    async def _load(self, found: StoredObject | None) -> None:
        """Use the stored ledger; resolve an unconfirmed write if possible."""
        stored = found and LedgerCopy(found.version, self._read(found))
        version = stored.version if stored else 0
        ledger = await self._current(stored)
        self._is_known = True
        self._ledger = ledger
        self._version = version
        unconfirmed = self._unconfirmed
        if unconfirmed is None:
            return
        if ledger.position(self._holder) >= unconfirmed.written.entry.position:
            self._resolve(was_applied=True)
        elif version != unconfirmed.expected_version:
            # Its expected version is outdated, so it will never be applied.
            self._resolve(was_applied=False)

    async def _current(self, stored: LedgerCopy | None) -> GrantLedger:
        """Return the ledger to continue from, given the stored one."""
        known = self._remembered
        if stored and not is_restored(stored, known):
            if self.is_forgotten and known:
                return with_remembered(stored.ledger, known)
            self.remember(stored)
            return stored.ledger
        if stored is None and known is None and self._store.era == 0:
            return GrantLedger()
        remembered = list(await self._remembered_by_peers())
        if known:
            remembered.append(known)
        return continued(
            stored,
            remembered,
            self._prepaid,
            is_first_start=self._is_first_start,
        )

    def _read(self, found: StoredObject) -> GrantLedger:
        try:
            return GrantLedger.from_value(found.value)
        except _MALFORMED_ERRORS as error:
            raise StoreUnavailableError(
                f'stored object {self._key} is not a ledger: {error!r}'
            ) from error

    def _resolve(self, *, was_applied: bool) -> None:
        unconfirmed = self._unconfirmed
        self._unconfirmed = None
        if unconfirmed:
            log.info('lost write resolved', was_applied=was_applied)
            self._on_resolved(unconfirmed.written, was_applied)
