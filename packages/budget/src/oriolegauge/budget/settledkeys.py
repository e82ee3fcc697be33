"""Bounded memory of billed request keys inside a shard."""

import base64
import hashlib
from typing import Any

SETTLED_KEYS_MAX = 20_000
"""Keys kept per shard; 16 characters each, 380 kB of the 1 MB value limit."""

DIGEST_BYTES = 12


class SettledKeys:
    """Remember billed keys in the `settled_keys` list of a shard copy."""

    def __init__(self, shard: dict[str, Any]) -> None:
        """Work on `shard`, whose list may be changed in place."""
        self._listed: list[str] = shard['settled_keys']
        self._known: set[str] | None = None

    def add(self, team: str, request_id: str) -> bool:
        """Remember the key; return False if it was known."""
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
    """Return the short digest under which a billed request is remembered.

    The digest is cryptographic because a caller who could construct two keys
    with the same digest would get the second answer unbilled.
    """
    digest = hashlib.blake2b(
        f'{team}\n{request_id}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
    return base64.urlsafe_b64encode(digest).decode()
