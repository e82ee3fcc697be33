"""Interface of the platform's object store."""

from collections.abc import AsyncIterator, Mapping
from typing import Any, Protocol

from oriolegauge.objectstore.hoststatus import HostStatus
from oriolegauge.objectstore.storedobject import StoredObject


class ObjectStore(Protocol):
    """Read, conditionally update and watch versioned objects."""

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

    async def put(
        self,
        key: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> StoredObject:
        """Replace the object if its version is the expected one (0 creates).

        Raise VersionConflictError, StoreUnavailableError or
        StoreRateLimitError if it was not applied, or StoreAnswerLostError if
        that is unknown.
        """

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with the prefix."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[StoredObject]:
        """Yield each change under the prefix with a version above `after`."""

    async def hosts(self) -> list[HostStatus]:
        """Return the host list, which may be stale."""
