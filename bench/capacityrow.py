"""One row of the capacity page."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.capacitymodel import Model

CORE = '0.02 core in all'
MEMORY = '256 MB in all'
BYTES = '15 KB/s in all'
WRITES = '400 a second'
READS = '2,000 a second'
VERSIONS = 'heartbeats that carry all configuration versions'


@dataclass(frozen=True, slots=True)
class Row:
    """Describe one cost, the code that causes it and its first limit."""

    cost: str
    mechanism: str
    slopes: tuple[str, ...]
    value: Callable[[Model], float]
    allowed: str
    first_limit: str


def by_kind(prefix: str) -> tuple[str, ...]:
    """Return the slope names for all kinds of heartbeat rows."""
    return tuple(
        f'{prefix}_per_{kind}' for kind in ('versions', 'servers', 'heard')
    )
