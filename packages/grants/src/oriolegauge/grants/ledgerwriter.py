"""Conditional writes of the ledger by one process.

Matters when daemons write at the same time and when the store loses answers: a
write without an answer may still be applied.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import structlog

from oriolegauge.grants.grantledger import GrantLedger, LedgerEntry
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
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
        store: ObjectStore,
        key: str,
        holder: str,
        on_resolved: Callable[[Written, bool], None],
    ) -> None:
        """Write as `holder`, a name that no other process start ever uses.

        `on_resolved` is called for each write whose answer was lost, with
        whether it was applied.
        """
        self._store = store
        self._key = key
        self._holder = holder
        self._on_resolved = on_resolved
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

    async def write(self, build_entry: EntryBuilder) -> Written:
        """Write the entry that `build_entry(ledger, position)` returns.

        After a conflict the entry is built again from the current ledger. Raise
        StoreAnswerLostError if the entry may have been written, and another
        StoreError if it was not.
        """
        for _ in range(MAX_CONFLICTS):
            if self._unconfirmed or not self._is_known:
                self._update_from_store(await self._store.get(self._key))
            entry = build_entry(self._ledger, self._position + 1)
            written = await self._put(entry)
            if written:
                return written
        raise VersionConflictError(
            'ledger write gave up after repeated version conflicts'
        )

    async def _put(self, entry: LedgerEntry) -> Written | None:
        changed, granted = self._ledger.apply(entry)
        written = Written(entry, granted)
        expected = self._version
        try:
            stored = await self._store.put(
                self._key, changed.to_value(), expected
            )
        except VersionConflictError as conflict:
            found = conflict.current or await self._store.get(self._key)
            self._update_from_store(found)
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
        return written

    def _update_from_store(self, found: StoredObject | None) -> None:
        """Use the stored ledger; resolve an unconfirmed write if possible."""
        ledger, version = GrantLedger(), 0
        if found is not None:
            ledger, version = self._read(found), found.version
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
