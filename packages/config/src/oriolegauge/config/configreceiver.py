"""Validation of configuration objects from the store and from peers.

An object that is older than the one in force or invalid is refused and
counted, so that a restored backup or a wrong change does no harm.
"""

from collections.abc import Callable, Iterable, Mapping

import structlog

from oriolegauge.config.configtree import ConfigTree
from oriolegauge.config.errors import ConfigInvalidError
from oriolegauge.objectstore import StoredObject

log = structlog.get_logger()


class ConfigReceiver:
    """Apply newer objects to the tree and count the refused ones."""

    def __init__(
        self, tree: ConfigTree, on_applied: Callable[[str], None] | None
    ) -> None:
        """Apply to the tree and call `on_applied` with each changed key."""
        self._tree = tree
        self._on_applied = on_applied
        self.store_behind: dict[str, int] = {}
        self.rejected: dict[str, int] = {}
        self.refused_lower = 0
        self.refused_invalid = 0

    def version(self, key: str) -> int:
        """Return the highest version received, in force or rejected."""
        return max(self._tree.version(key), self.rejected.get(key, 0))

    def covers(self, versions: Mapping[str, int]) -> bool:
        """Tell whether these or higher versions were received of all keys."""
        return all(
            self.version(key) >= version for key, version in versions.items()
        )

    def accept(self, stored: StoredObject) -> bool:
        """Put the object in force if it is newer and valid."""
        if stored.version <= self.version(stored.key):
            return False
        try:
            self._tree.apply(stored)
        except ConfigInvalidError as error:
            self._reject(stored, error)
            return False
        self.rejected.pop(stored.key, None)
        if self._on_applied is not None:
            self._on_applied(stored.key)
        return True

    def accept_from_store(self, stored: StoredObject) -> None:
        """Accept an object of the store; report one with a lower version."""
        if self.accept(stored):
            self.store_behind.pop(stored.key, None)
            return
        in_force = self._tree.stored(stored.key)
        if in_force is None or stored == in_force:
            self.store_behind.pop(stored.key, None)
        elif stored.version <= in_force.version:
            self._note_store_behind(stored.key, stored.version)

    def accept_list(self, listed: Iterable[StoredObject]) -> None:
        """Accept all objects of the store; report missing ones as version 0."""
        missing = set(self._tree.versions)
        for stored in listed:
            missing.discard(stored.key)
            self.accept_from_store(stored)
        for key in missing:
            self._note_store_behind(key, 0)

    def _note_store_behind(self, key: str, version: int) -> None:
        """Count and log a store object that is older than the one in force.

        An object of equal version with another value counts too.
        """
        self.refused_lower += 1
        if self.store_behind.get(key) != version:
            self.store_behind[key] = version
            log.warning(
                'store holds a lower configuration version; refused',
                key=key,
                store_version=version,
                version_in_force=self._tree.version(key),
            )

    def _reject(self, stored: StoredObject, error: ConfigInvalidError) -> None:
        self.rejected[stored.key] = stored.version
        self.refused_invalid += 1
        log.warning(
            'configuration rejected',
            key=stored.key,
            version=stored.version,
            error=error.message,
        )
