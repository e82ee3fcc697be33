"""Store whose objects are listed and watched by kind, with one revision."""

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
    """Hold what changed up to a revision; `deleted` lists keys."""

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
        *,
        allow_stale: bool = False,
    ) -> Changes:
        """Return what changed after the revision, waiting up to `wait_s`.

        Raise HistoryLostError if the store can't tell, or a StoreError. With
        `allow_stale` the call is cheaper and may miss recent changes.
        """
