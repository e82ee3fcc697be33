"""Exchange of configuration documents between daemons.

A daemon fetches newer revisions from its peers, so that only a few daemons
read the store. A build that knows no eras of the store gets revisions and sends
them; they count in the era of the held document.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from itertools import chain, repeat

import structlog

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.taskset import TaskSet
from oriolegauge.gateway.documentsources import SLOW_FETCH_S, DocumentSources
from oriolegauge.gateway.shareddocuments import (
    DamagedDocumentError,
    Document,
    SharedDocuments,
)
from oriolegauge.objectstore import era_of, revision_of, store_version
from oriolegauge.wire.messages import (
    NEVER_MS,
    ConfigFetch,
    ConfigObject,
    ConfigObjects,
    ConfigVersion,
    Heartbeat,
    Message,
)

# Enough for a host with a link of 5 Mbit/s to send a compressed configuration
# of a thousand routes to ten peers.
FETCH_TIMEOUT_S = 2.0

PeerCall = Callable[[str, Message, float], Awaitable[Message]]

log = structlog.get_logger()


class DocumentExchange:
    """Fetch newer documents from peers, and serve those of this daemon."""

    def __init__(
        self,
        documents: SharedDocuments,
        call: PeerCall,
        is_linked: Callable[[str], bool],
    ) -> None:
        """Fetch by `call(peer, message, timeout_s)` from linked peers."""
        self._documents = documents
        self._call = call
        self._providers: dict[str, Callable[[], Document | None]] = {}
        self._sources = DocumentSources(documents.is_wanted, is_linked)
        # Keys of documents that earlier builds do not know. They would fail on
        # one, so they must not hear of it.
        self._later_keys: set[str] = set()
        self._tasks = TaskSet()

    def provide(
        self, key: str, provider: Callable[[], Document | None]
    ) -> None:
        """Serve a document that only peers which ask for it get."""
        self._providers[key] = provider

    def add_later_key(self, key: str) -> None:
        """Exchange a document only with builds that know of it."""
        self._later_keys.add(key)

    def versions(self) -> tuple[ConfigVersion, ...]:
        """Return revision and digest of each document of this daemon.

        Those of later keys are left out.
        """
        return tuple(
            row for row in self._all() if row.key not in self._later_keys
        )

    def later_versions(self) -> tuple[ConfigVersion, ...]:
        """Return revision and digest of the documents of later keys."""
        return tuple(row for row in self._all() if row.key in self._later_keys)

    def revisions(self) -> tuple[ConfigVersion, ...]:
        """Return the versions without eras."""
        return tuple(
            replace(row, version=revision_of(row.version))
            for row in self.versions()
        )

    def read_ages_ms(self) -> tuple[int, ...]:
        """Return how old the documents of this daemon may be.

        The order is that of `versions` and, after them, `later_versions`.
        """
        rows = (*self.versions(), *self.later_versions())
        return tuple(self._documents.readings.ages_ms(row.key for row in rows))

    def learn(self, peer: str, heartbeat: Heartbeat) -> None:
        """Fetch documents of which the peer has a newer, different version."""
        versions = heartbeat.document_versions or tuple(
            replace(row, version=self._with_era(row.key, row.version))
            for row in heartbeat.config_versions
        )
        known_ms = chain(heartbeat.read_ages_ms, repeat(NEVER_MS))
        told = zip(
            (*versions, *heartbeat.later_versions), known_ms, strict=False
        )
        for row, age_ms in told:
            if row in versions or row.key in self._later_keys:
                self._learn(peer, row, age_ms)

    def answer(self, request: ConfigFetch) -> ConfigObjects:
        """Return the requested documents that this daemon has, compressed."""
        held = ((key, self._find(key)) for key in request.keys)
        versions = self._documents.revisions
        objects = tuple(
            ConfigObject(
                key, versions.get(key, document.revision), document.packed
            )
            for key, document in held
            if document
        )
        if not request.knows_eras:
            objects = tuple(
                replace(row, version=revision_of(row.version))
                for row in objects
            )
        return ConfigObjects(objects=objects, has_eras=request.knows_eras)

    def _learn(self, peer: str, row: ConfigVersion, age_ms: int) -> None:
        self._documents.advance_revision(row.key, row.version, row.digest)
        self._documents.readings.learn(row, age_ms)
        if self._sources.note_told(peer, row, _now()):
            self._fetch_next(row.key)

    def _all(self) -> Iterator[ConfigVersion]:
        for key, revision in self._documents.revisions.items():
            yield ConfigVersion(key, revision, self._documents.digest(key))

    def _find(self, key: str) -> Document | None:
        provider = self._providers.get(key)
        return provider() if provider else self._documents.get(key)

    def _with_era(self, key: str, revision: int) -> int:
        held = self._documents.revisions.get(key, 0)
        return store_version(era_of(held), revision_of(revision))

    def _fetch_next(self, key: str) -> None:
        """Ask the next peer that has a newer version, if it is time to."""
        peer = self._sources.next_peer(key, _now())
        if peer is None:
            return
        self._sources.note_asked(peer, key, _now())
        self._tasks.spawn(self._fetch(peer, key))
        asyncio.get_running_loop().call_later(
            SLOW_FETCH_S, self._fetch_next, key
        )

    async def _fetch(self, peer: str, key: str) -> None:
        answer = None
        try:
            answer = await self._call(
                peer, ConfigFetch(keys=(key,), knows_eras=True), FETCH_TIMEOUT_S
            )
        except OriolegaugeError as error:
            log.info(
                'document fetch failed',
                key=key,
                peer=peer,
                error=error.message,
            )
        finally:
            self._sources.note_ended(
                peer, key, _now(), is_answered=answer is not None
            )
        if isinstance(answer, ConfigObjects):
            self._accept(peer, answer)
        self._fetch_next(key)

    def _accept(self, peer: str, answer: ConfigObjects) -> None:
        for row in answer.objects:
            version = row.version
            if not answer.has_eras:
                version = self._with_era(row.key, version)
            self._accept_object(peer, replace(row, version=version))

    def _accept_object(self, peer: str, row: ConfigObject) -> None:
        try:
            document = Document.unpack(row.version, row.value, peer)
        except DamagedDocumentError as error:
            log.warning('damaged document', peer=peer, error=str(error))
            return
        self._documents.offer(row.key, document)


def _now() -> float:
    return asyncio.get_running_loop().time()
