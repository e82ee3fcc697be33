"""Interface of an object store that may come back from an older copy."""

from typing import Protocol

from oriolegauge.objectstore.objectstore import ObjectStore


class RestorableStore(ObjectStore, Protocol):
    """Tell when the store has lost its last changes.

    The versions of its objects rise over restores; see `store_version`.
    """

    @property
    def era(self) -> int:
        """Return how often the store was restored, as last known."""
