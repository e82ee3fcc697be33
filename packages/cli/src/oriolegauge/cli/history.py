"""History of changes, kept in the store next to what they changed."""

from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from oriolegauge.cli.merge import Patch
from oriolegauge.objectstore import StoredObject

PREFIX = 'history/'
MAX_ENTRIES = 50
# The store takes values up to 1 MB.
MAX_BYTES = 900_000


def history_key(key: str) -> str:
    """Return the key of the history of an object."""
    return PREFIX + key


def entry_of(
    change: Mapping[str, Any], patch: Patch, version: int
) -> dict[str, Any]:
    """Return the history entry of a change."""
    return {
        **change,
        'version': version,
        'paths': [place.describe() for place in patch],
    }


def add_entry(
    history: Mapping[str, Any],
    entry: Mapping[str, Any],
    stored: StoredObject,
) -> dict[str, Any]:
    """Return the history with the entry and the newest 50 entries.

    The object names its latest changes, so that a change whose author failed
    to write its history is entered, without its paths, by the next one.
    """
    entries = {row['id']: row for row in history.get('entries', [])}
    for change in stored.value.get('changes', []):
        entries.setdefault(change['id'], dict(change))
    entries[entry['id']] = dict(entry)
    rows = sorted(
        entries.values(),
        key=lambda row: (row['at_unix_s'], row.get('version', 0)),
    )
    return {'entries': _bounded(rows)}


def _bounded(rows: Sequence[Mapping[str, Any]]) -> list[Mapping[str, Any]]:
    kept: list[Mapping[str, Any]] = []
    size = 0
    for row in reversed(rows[-MAX_ENTRIES:]):
        size += len(orjson.dumps(row))
        if size > MAX_BYTES:
            break
        kept.append(row)
    return list(reversed(kept))
