"""Object that names the last changes, written after each change."""

from collections.abc import Mapping
from typing import Any

ANNOUNCEMENT_KEY = 'announcements/config'
MAX_ENTRIES = 32


def announce(
    value: Mapping[str, Any], key: str, version: int
) -> dict[str, Any]:
    """Return the announcement with a change of an object."""
    known = announced_versions(value)
    known[key] = max(version, known.pop(key, 0))
    return {'versions': dict(list(known.items())[-MAX_ENTRIES:])}


def announced_versions(value: Mapping[str, Any]) -> dict[str, int]:
    """Return the versions of the objects that changed last."""
    versions = value.get('versions')
    if not isinstance(versions, Mapping):
        return {}
    return {
        key: version
        for key, version in versions.items()
        if isinstance(version, int)
    }
