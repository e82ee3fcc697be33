"""Rendezvous hashing, by which daemons agree on a node without messages.

Every daemon that knows the same nodes ranks them in the same order for a key,
and a node that leaves changes only the keys that preferred it.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in order of preference for the key."""
    return sorted(
        nodes,
        key=lambda node: (-_score(key, node), node),
    )


def first(key: str, nodes: Iterable[str]) -> str | None:
    """Return the preferred node for the key, or None without nodes."""
    return max(
        nodes,
        key=lambda node: (_score(key, node), node),
        default=None,
    )


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard number of the key, from 0 to shard_count - 1."""
    return xxhash.xxh64_intdigest(key.encode()) % shard_count


def _score(key: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}|{node}'.encode())
