"""Documents that daemons hold in common, the newest revision of each."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Document:
    """Hold the bytes of a document as of a revision of the store."""

    revision: int
    payload: bytes
    source: str


class SharedDocuments:
    """Keep the newest revision; an older one is never taken over."""

    def __init__(self, on_change: Callable[[str, Document], None]) -> None:
        """Report each document that was taken over under its key."""
        self._on_change = on_change
        self._documents: dict[str, Document] = {}

    @property
    def revisions(self) -> Mapping[str, int]:
        """Return the revision of each document."""
        return {key: held.revision for key, held in self._documents.items()}

    def get(self, key: str) -> Document | None:
        """Return the document, or None if there is none yet."""
        return self._documents.get(key)

    def is_news(self, key: str, revision: int) -> bool:
        """State whether the revision is newer than the one held."""
        held = self._documents.get(key)
        return held is None or revision > held.revision

    def offer(self, key: str, document: Document) -> bool:
        """Take the document over if it is newer."""
        if not self.is_news(key, document.revision):
            return False
        held = self._documents.get(key)
        self._documents[key] = document
        if held is None or held.payload != document.payload:
            self._on_change(key, document)
        return True
