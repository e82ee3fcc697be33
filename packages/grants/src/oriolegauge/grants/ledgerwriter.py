"""Writes of the ledger by one process."""

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

# Races between daemons that write the ledger; each retry costs a call.
MAX_CONFLICTS = 8
_UNFIT = (KeyError, TypeError, ValueError, AttributeError)

Build = Callable[[GrantLedger, int], LedgerEntry]

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Written:
    """Hold an entry that is in the ledger, and what it granted."""

    entry: LedgerEntry
    granted: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class _Doubt:
    written: Written
    expected_version: int


class LedgerWriter:
    """Write entries one after the other; callers wait for their turn.

    A write whose answer is lost may be applied later. Its tokens are not used
    before the ledger shows that it was; what it reported is reported again once
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

        `on_resolved` gets each entry in doubt with whether it was applied.
        """
        self._store = store
        self._key = key
        self._holder = holder
        self._on_resolved = on_resolved
        self._book = GrantLedger()
        self._version = 0
        self._is_known = False
        self._position = 0
        self._doubt: _Doubt | None = None

    @property
    def book(self) -> GrantLedger:
        """Return the book as this process last saw it."""
        return self._book

    @property
    def version(self) -> int:
        """Return the version of the book, 0 if none was seen."""
        return self._version

    @property
    def is_known(self) -> bool:
        """State whether the book was read or written."""
        return self._is_known

    async def write(self, build: Build) -> Written:
        """Write the entry that `build(book, position)` returns.

        It is built anew from each book met. Raise a StoreError if the entry was
        not written, or may not have been.
        """
        for _ in range(MAX_CONFLICTS):
            if self._doubt or not self._is_known:
                self._adopt(await self._store.get(self._key))
            entry = build(self._book, self._position + 1)
            written = await self._put(entry)
            if written:
                return written
        raise VersionConflictError('too many daemons write the ledger')

    async def _put(self, entry: LedgerEntry) -> Written | None:
        changed, granted = self._book.apply(entry)
        written = Written(entry, granted)
        expected = self._version
        try:
            stored = await self._store.put(
                self._key, changed.to_value(), expected
            )
        except VersionConflictError as conflict:
            found = conflict.current or await self._store.get(self._key)
            self._adopt(found)
            return None
        except StoreAnswerLostError:
            self._position = entry.position
            self._doubt = _Doubt(written, expected)
            raise
        # A lost write that this one did not find can't be applied any more.
        self._resolve(was_applied=False)
        self._position = entry.position
        self._book = changed
        self._version = stored.version
        return written

    def _adopt(self, found: StoredObject | None) -> None:
        """Take over a version read and settle what it says of a lost write."""
        book, version = GrantLedger(), 0
        if found is not None:
            book, version = self._read(found), found.version
        self._is_known = True
        self._book = book
        self._version = version
        doubt = self._doubt
        if doubt is None:
            return
        if book.position(self._holder) >= doubt.written.entry.position:
            self._resolve(was_applied=True)
        elif version != doubt.expected_version:
            # Its condition can't hold any more, so it will never be applied.
            self._resolve(was_applied=False)

    def _read(self, found: StoredObject) -> GrantLedger:
        try:
            return GrantLedger.from_value(found.value)
        except _UNFIT as error:
            raise StoreUnavailableError(
                f'{self._key} is no ledger: {error!r}'
            ) from error

    def _resolve(self, *, was_applied: bool) -> None:
        doubt = self._doubt
        self._doubt = None
        if doubt:
            log.info('lost write resolved', was_applied=was_applied)
            self._on_resolved(doubt.written, was_applied)
