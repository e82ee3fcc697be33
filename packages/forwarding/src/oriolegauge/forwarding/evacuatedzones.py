"""Availability zones that get no new requests, as operators have requested."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import structlog

MAX_SHOWN_ZONES = 8

log = structlog.get_logger()


class EvacuatedZones:
    """Hold the last known state of the evacuations."""

    def __init__(self, on_returned: Callable[[Collection[str]], None]) -> None:
        """Call `on_returned(zones)` when evacuations have ended."""
        self._on_returned = on_returned
        self._zones: frozenset[str] = frozenset()
        self._revision = -1
        self._reported: set[str] = set()

    def __contains__(self, zone: str) -> bool:
        return zone in self._zones

    def __len__(self) -> int:
        return len(self._zones)

    def apply(
        self,
        zones: Iterable[str],
        *,
        revision: int,
        source: str,
        age_s: float,
    ) -> bool:
        """Take over a newer state; return whether it changed the zones.

        `age_s` is the time since the store last told this daemon the state,
        infinite if it never did.
        """
        if revision < self._revision:
            return False
        self._revision = revision
        before = self._zones
        self._zones = frozenset(zones)
        if self._zones == before:
            return False
        log.info(
            'zones evacuated',
            zones=sorted(self._zones),
            revision=revision,
            source=source,
            age_s=None if math.isinf(age_s) else round(age_s, 3),
        )
        returned = before - self._zones
        self._reported -= returned
        if returned:
            self._on_returned(returned)
        return True

    def report_unknown(self, known: Collection[str]) -> None:
        """Report once each evacuated zone without servers and hosts."""
        for zone in sorted(self._zones - set(known) - self._reported):
            self._reported.add(zone)
            log.warning('evacuation of an unknown zone', zone=zone)


def zones_of(kind: str, objects: Any) -> frozenset[str]:
    """Return the zones that the objects of the kind name.

    The body of an object does not matter. Raise ValueError if this is no list
    of objects of the kind.
    """
    if not isinstance(objects, list):
        raise ValueError('no list of objects')
    return frozenset(_zone_of(kind, row) for row in objects)


def _zone_of(kind: str, row: Any) -> str:
    key = row.get('key') if isinstance(row, Mapping) else None
    if not isinstance(key, str) or 'value' not in row:
        raise ValueError(f'no object: {row!r:.100}')
    found_kind, _, zone = key.partition('/')
    if found_kind != kind or not zone:
        raise ValueError(f'{key:.100} names no zone')
    return zone


def shown(zones: Collection[str]) -> str:
    """Return the names for a message, at most MAX_SHOWN_ZONES of them."""
    names = sorted(zones)
    more = len(names) - MAX_SHOWN_ZONES
    rest = f' and {more} more' if more > 0 else ''
    return ', '.join(names[:MAX_SHOWN_ZONES]) + rest
