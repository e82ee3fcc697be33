"""Documents that all daemons share, such as configuration and servers.

Keeps the newest revision of each, whether it came from the store or a peer. A
store that comes back from an older copy shows older content at a newer
revision, so the rank that the content itself states goes before the revision.
"""

import time
import zlib
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cached_property

import structlog
import xxhash

from oriolegauge.gateway.storereadings import StoreReadings

# Limit for a decompressed document: ten times the largest object of the store.
MAX_DOCUMENT_BYTES = 10 * 1024 * 1024
# Digests are sent as signed 64-bit numbers.
_DIGEST_MASK = 2**63 - 1
# Digests of refused documents kept of each key, which are not fetched again.
MAX_REFUSED = 16

log = structlog.get_logger()


class DamagedDocumentError(Exception):
    """Compressed bytes that are not a valid document."""


@dataclass(frozen=True)
class Document:
    """Content of a document at a revision of the store."""

    revision: int
    payload: bytes
    source: str

    @classmethod
    def unpack(cls, revision: int, packed: bytes, source: str) -> 'Document':
        """Decompress a document from a peer.

        Raise DamagedDocumentError if it is incomplete, invalid or too large.
        """
        inflater = zlib.decompressobj()
        try:
            payload = inflater.decompress(packed, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            raise DamagedDocumentError(str(error)) from error
        if not inflater.eof:
            raise DamagedDocumentError(
                'compressed document is incomplete or too large'
            )
        return cls(revision, payload, source)

    @cached_property
    def packed(self) -> bytes:
        """Return the payload compressed, as it is sent to peers.

        Uncompressed, a configuration of a thousand routes takes half a second
        on a link of 5 Mbit/s for each peer that fetches it.
        """
        return zlib.compress(self.payload)

    @cached_property
    def digest(self) -> int:
        """Return a hash of the payload."""
        return xxhash.xxh3_64_intdigest(self.payload) & _DIGEST_MASK


def unranked(key: str, document: Document) -> int:
    """Return the same rank for all documents."""
    return 0


class SharedDocuments:
    """Keep the newest revision of each document; ignore older ones."""

    def __init__(
        self,
        on_change: Callable[[str, Document], None],
        rank: Callable[[str, Document], int | None] = unranked,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Call `on_change(key, document)` for each new content.

        `rank(key, document)` rises with the versions of the content; None if
        it is invalid. `clock` counts seconds, pauses of the host included.
        """
        self.readings = StoreReadings(self, clock)
        self._on_change = on_change
        self._rank = rank
        self._ranks: dict[str, int] = {}
        self._refused: dict[str, deque[int]] = {}
        self._documents: dict[str, Document] = {}
        # May be newer than the revision in the document, if its content has not
        # changed since.
        self._revisions: dict[str, int] = {}

    @property
    def revisions(self) -> Mapping[str, int]:
        """Return the newest revision known of each document."""
        return self._revisions

    def get(self, key: str) -> Document | None:
        """Return the document, or None if there is none yet."""
        return self._documents.get(key)

    def digest(self, key: str) -> int:
        """Return the digest of a document that is present."""
        return self._documents[key].digest

    def is_held(self, key: str, digest: int) -> bool:
        """State whether the document is held with that digest."""
        held = self._documents.get(key)
        return held is not None and held.digest == digest

    def is_newer(self, key: str, revision: int) -> bool:
        """State whether the revision is newer than the latest known one."""
        return revision > self._revisions.get(key, -1)

    def is_wanted(self, key: str, revision: int, digest: int) -> bool:
        """State whether a peer's document may have to replace the held one."""
        if self.is_newer(key, revision):
            return True
        held = self._documents.get(key)
        return (
            revision == self._revisions.get(key)
            and held is not None
            and digest not in {0, held.digest, *self._refused.get(key, ())}
        )

    def advance_revision(self, key: str, revision: int, digest: int) -> None:
        """Note a newer revision if its digest is that of the present content.

        Revisions count all changes in the store, also those of other documents.
        """
        if self.is_held(key, digest) and self.is_newer(key, revision):
            self._revisions[key] = revision

    def offer(self, key: str, document: Document) -> bool:
        """Accept the document if it is newer; return whether it was."""
        newest = self._revisions.get(key, -1)
        if document.revision < newest:
            return False
        held = self._documents.get(key)
        if held and held.payload == document.payload:
            self._revisions[key] = document.revision
            return document.revision > newest
        rank = self._rank(key, document)
        held_rank = self._ranks.get(key, -1)
        is_equal = document.revision == newest and rank == held_rank
        if rank is None or rank < held_rank or is_equal:
            self._refuse(key, document, rank)
            return False
        self._revisions[key] = document.revision
        self._ranks[key] = rank
        self._documents[key] = document
        self._on_change(key, document)
        return True

    def _refuse(self, key: str, document: Document, rank: int | None) -> None:
        """Keep the held content, also at the newer revision."""
        if key in self._documents:
            self._revisions[key] = document.revision
        refused = self._refused.setdefault(key, deque(maxlen=MAX_REFUSED))
        refused.append(document.digest)
        log.warning(
            'document refused',
            key=key,
            revision=document.revision,
            source=document.source,
            rank=rank,
            held_rank=self._ranks.get(key),
        )
