"""Announcement object, which names the last configuration changes.

The command-line tool writes it after each change. A daemon that reads it sees
whether its watch missed a change, without reading the whole configuration.
"""

from collections.abc import Mapping
from typing import Any

ANNOUNCEMENT_KEY = 'announcements/config'
MAX_ENTRIES = 32


def announce(
    value: Mapping[str, Any], key: str, version: int
) -> dict[str, Any]:
    """Return the value of the announcement with one more change."""
    known = announced_versions(value)
    known[key] = max(version, known.pop(key, 0))
    return {'versions': dict(list(known.items())[-MAX_ENTRIES:])}


def announced_versions(value: Mapping[str, Any]) -> dict[str, int]:
    """Return the announced versions by key."""
    versions = value.get('versions')
    if not isinstance(versions, Mapping):
        return {}
    return {
        key: version
        for key, version in versions.items()
        if isinstance(version, int)
    }
