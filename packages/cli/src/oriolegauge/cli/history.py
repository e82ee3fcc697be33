"""History of the changes of an object, stored in an object of its own."""

from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from oriolegauge.cli.merge import Patch
from oriolegauge.objectstore import StoredObject

PREFIX = 'history/'
MAX_ENTRIES = 50
# Stays below the limit of the store, 1 MB per value.
MAX_BYTES = 900_000


def history_key(key: str) -> str:
    """Return the key under which the history of an object is stored."""
    return PREFIX + key


def history_entry(
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
    """Return the history with the entry added, limited to the newest 50.

    The object lists its latest changes. If an operator could not write the
    history of a change, the next one adds it from that list, without its paths.
    """
    entries = {row['id']: row for row in history.get('entries', [])}
    for change in stored.value.get('changes', []):
        entries.setdefault(change['id'], dict(change))
    entries[entry['id']] = dict(entry)
    rows = sorted(
        entries.values(),
        key=lambda row: (row['at_unix_s'], row.get('version', 0)),
    )
    return {'entries': _newest_entries(rows)}


def _newest_entries(
    rows: Sequence[Mapping[str, Any]],
) -> list[Mapping[str, Any]]:
    kept: list[Mapping[str, Any]] = []
    size = 0
    for row in reversed(rows[-MAX_ENTRIES:]):
        size += len(orjson.dumps(row))
        if size > MAX_BYTES:
            break
        kept.append(row)
    return list(reversed(kept))
