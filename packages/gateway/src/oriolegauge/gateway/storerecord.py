"""Record in the store of what daemons have learned, for those that start.

Matters when all daemons stop at once.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar

import structlog

from oriolegauge.objectstore import RestorableStore, StoreError

# Changes within this time are written together, and failed calls repeated.
PERIOD_S = 1.0
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

State = TypeVar('State')

log = structlog.get_logger()


class StoreRecord(ABC, Generic[State]):
    """Read a record at the start, and keep it up to date.

    Subclasses define the state and its stored form.
    """

    def __init__(
        self, *, store: RestorableStore, key: str, is_writer: Callable[[], bool]
    ) -> None:
        """Write only while `is_writer()` is true, which holds for one daemon.

        Two writers at once only cause version conflicts.
        """
        self._store = store
        self._key = key
        self._is_writer = is_writer
        self._version = 0
        self._era = 0
        self._recorded: State | None = None
        self._changed = asyncio.Event()

    def announce_change(self) -> None:
        """Write the state soon, since it has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Read the record, then write changes of the state until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log.info('not recorded', key=self._key, error=error.message)
                self._recorded = None
                await asyncio.sleep(PERIOD_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PERIOD_S):
                    await self._changed.wait()
            self._changed.clear()

    @abstractmethod
    def current(self) -> State:
        """Return the state to record."""

    @abstractmethod
    def learn(self, recorded: State) -> None:
        """Use the recorded state, read for the first time."""

    def refresh(self, recorded: State) -> None:
        """Use the recorded state, read again before a write."""

    def confirm(self, state: State) -> None:
        """Note that the store has confirmed the state."""

    @abstractmethod
    def encode(self, state: State) -> Mapping[str, Any]:
        """Return the stored form."""

    @abstractmethod
    def decode(self, value: Mapping[str, Any]) -> State:
        """Read the stored form; raise KeyError, TypeError or ValueError."""

    @abstractmethod
    def empty(self) -> State:
        """Return the state without a record."""

    async def _step(self) -> None:
        # A store that was restored may have lost the record.
        if self._recorded is None or self._era != self._store.era:
            await self._read()
        if self.current() == self._recorded or not self._is_writer():
            return
        # Another daemon may have written since.
        await self._read()
        current = self.current()
        if current == self._recorded:
            return
        stored = await self._store.put(
            self._key, self.encode(current), self._version
        )
        self._version = stored.version
        self._recorded = current
        self.confirm(current)
        log.info('recorded', key=self._key, version=stored.version)

    async def _read(self) -> None:
        found = await self._store.get(self._key)
        is_first = self._version == 0
        self._era = self._store.era
        self._version = found.version if found else 0
        self._recorded = self._decoded(found.value) if found else self.empty()
        if is_first:
            self.learn(self._recorded)
        else:
            self.refresh(self._recorded)

    def _decoded(self, value: Mapping[str, Any]) -> State:
        try:
            return self.decode(value)
        except _MALFORMED_ERRORS as error:
            log.warning('record is unfit', key=self._key, error=repr(error))
            return self.empty()
