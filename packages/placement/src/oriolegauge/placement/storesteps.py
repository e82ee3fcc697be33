"""Conditional writes whose lost answers are resolved by one read."""

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
    """Return the stored object, or None if it is not known to be ours.

    The value must differ from that of any other writer and write.
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


class SeenVersion:
    """Measure on the own clock how long an object has not changed."""

    def __init__(self) -> None:
        """Start without having seen the object."""
        self._version: int | None = None
        self._since: float = 0

    def note(self, version: int, now: float) -> float:
        """Note a version read just now; return how long it is unchanged."""
        if version != self._version:
            self._version = version
            self._since = now
        return now - self._since
