"""Documents that all daemons share, such as configuration and servers.

Keeps the newest revision of each, whether it came from the store or a peer.
"""

import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cached_property

import xxhash

# Limit for a decompressed document: ten times the largest object of the store.
MAX_DOCUMENT_BYTES = 10 * 1024 * 1024
# Digests are sent as signed 64-bit numbers.
_DIGEST_MASK = 2**63 - 1


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


class SharedDocuments:
    """Keep the newest revision of each document; ignore older ones."""

    def __init__(self, on_change: Callable[[str, Document], None]) -> None:
        """Call `on_change(key, document)` for each new content."""
        self._on_change = on_change
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

    def is_newer(self, key: str, revision: int) -> bool:
        """State whether the revision is newer than the latest known one."""
        return revision > self._revisions.get(key, -1)

    def advance_revision(self, key: str, revision: int, digest: int) -> None:
        """Note a newer revision if its digest is that of the present content.

        Revisions count all changes in the store, also those of other documents.
        """
        held = self._documents.get(key)
        if held and held.digest == digest and self.is_newer(key, revision):
            self._revisions[key] = revision

    def offer(self, key: str, document: Document) -> bool:
        """Accept the document if it is newer; return whether it was."""
        if not self.is_newer(key, document.revision):
            return False
        held = self._documents.get(key)
        self._revisions[key] = document.revision
        if held is None or held.payload != document.payload:
            self._documents[key] = document
            self._on_change(key, document)
        return True
