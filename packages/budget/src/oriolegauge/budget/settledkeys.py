"""Bounded list of billed request keys inside a shard.

A keyed request that is retried at several daemons is billed only once.
"""

import base64
import hashlib
from typing import Any

SETTLED_KEYS_MAX = 20_000
"""Keys per shard; 16 characters each, 380 kB of the 1 MB value limit."""

DIGEST_BYTES = 12


class SettledKeys:
    """Add billed keys to the `settled_keys` list of a shard copy."""

    def __init__(self, shard: dict[str, Any]) -> None:
        """Work on `shard`, whose list may be changed in place."""
        self._listed: list[str] = shard['settled_keys']
        self._known: set[str] | None = None

    def add(self, team: str, request_id: str) -> bool:
        """Add the key; return False if it was billed before."""
        if self._known is None:
            self._known = set(self._listed)
        key = key_digest(team, request_id)
        if key in self._known:
            return False
        self._known.add(key)
        self._listed.append(key)
        del self._listed[:-SETTLED_KEYS_MAX]
        return True


def key_digest(team: str, request_id: str) -> str:
    """Return the digest under which a billed request is listed.

    The digest is cryptographic: with a constructed collision, a caller would
    get the second answer without a bill.
    """
    digest = hashlib.blake2b(
        f'{team}\n{request_id}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
    return base64.urlsafe_b64encode(digest).decode()
