"""Interface of a store that lists and watches objects by kind.

One revision counts the changes of all objects of the store.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from oriolegauge.objectstore.storedobject import StoredObject


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold all objects of a kind as of a revision of the store."""

    objects: Sequence[StoredObject]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes up to a revision; `deleted` has the keys."""

    changed: Sequence[StoredObject]
    deleted: Sequence[str]
    revision: int


class KindStore(Protocol):
    """List and watch objects of a kind."""

    async def snapshot(self, kind: str) -> Snapshot:
        """Return all objects of the kind; raise a StoreError."""

    async def changes(
        self,
        kind: str,
        after: int,
        wait_s: float,
    ) -> Changes:
        """Return the changes after a revision; wait up to `wait_s` seconds.

        Raise HistoryLostError if the store no longer has them, or another
        StoreError.
        """
