"""Conditional writes to the store, also when the reply is lost."""

from collections.abc import Mapping
from typing import Any

from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    VersionConflictError,
)


async def confirmed_put(
    store: ObjectStore,
    key: str,
    value: Mapping[str, Any],
    expected_version: int,
) -> StoredObject | None:
    """Write; return the stored object, or None if it isn't surely ours.

    A lost reply is resolved by reading the object back, so the value must
    differ from that of any other writer and write.
    """
    try:
        return await store.put(key, value, expected_version)
    except VersionConflictError:
        return None
    except StoreAnswerLostError:
        found = await store.get(key)
    if found is not None and dict(found.value) == dict(value):
        return found
    return None


class VersionAge:
    """Measure on the local clock how long an object is unchanged."""

    def __init__(self) -> None:
        """Start before the first read of the object."""
        self._version: int | None = None
        self._since: float = 0

    def observe(self, version: int, now: float) -> float:
        """Record a version read now; return its age in seconds."""
        if version != self._version:
            self._version = version
            self._since = now
        return now - self._since
