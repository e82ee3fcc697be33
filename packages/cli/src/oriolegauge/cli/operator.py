"""Conditional updates of the store on behalf of an operator."""

from collections.abc import Callable, Mapping
from typing import Any

from oriolegauge.config.configtree import parse_subtree
from oriolegauge.platform import (
    ObjectStore,
    StoredObject,
    VersionConflictError,
)

MAX_ATTEMPTS = 5

Update = Callable[[Mapping[str, Any]], dict[str, Any]]


class Operator:
    """Change store objects; a lost race is retried on the new value."""

    def __init__(self, store: ObjectStore) -> None:
        """Use the store."""
        self._store = store

    async def read(self, key: str) -> Mapping[str, Any]:
        """Return the value of an object, empty if there is none."""
        found = await self._store.get(key)
        return found.value if found else {}

    async def list_keys(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix."""
        return await self._store.list_objects(prefix)

    async def update(self, key: str, change: Update) -> StoredObject:
        """Apply the change to the current value of any object."""
        for attempt in range(MAX_ATTEMPTS):
            found = await self._store.get(key)
            version = found.version if found else 0
            updated = change(found.value if found else {})
            try:
                return await self._store.put(key, updated, version)
            except VersionConflictError:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
        raise VersionConflictError(f'{key} keeps changing')

    async def update_config(self, key: str, change: Update) -> StoredObject:
        """Apply the change to a subtree and validate it as a whole."""

        def checked(tree: Mapping[str, Any]) -> dict[str, Any]:
            updated = change(tree)
            parse_subtree(key, updated)
            return updated

        return await self.update(key, checked)
