"""Exchange of configuration documents between daemons.

A daemon fetches newer revisions from its peers, so that only a few daemons
read the store. A build that knows no eras of the store gets revisions and sends
them; they count in the era of the held document.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

import structlog

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.taskset import TaskSet
from oriolegauge.gateway.shareddocuments import (
    DamagedDocumentError,
    Document,
    SharedDocuments,
)
from oriolegauge.objectstore import era_of, revision_of, store_version
from oriolegauge.wire.messages import (
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
# Another peer is asked for a document that has not come after this time: the
# link to the first may be silent. Two more copies at most delay each other on
# the smallest links.
SLOW_FETCH_S = 0.5
MAX_FETCHES = 3

PeerCall = Callable[[str, Message, float], Awaitable[Message]]

log = structlog.get_logger()


class DocumentExchange:
    """Fetch newer documents from peers, and serve those of this daemon."""

    def __init__(self, documents: SharedDocuments, call: PeerCall) -> None:
        """Fetch by `call(peer, message, timeout_s)`."""
        self._documents = documents
        self._call = call
        self._providers: dict[str, Callable[[], Document | None]] = {}
        # Loop times at which fetches under way began, by key and peer.
        self._fetching: dict[str, dict[str, float]] = {}
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

    def learn(self, peer: str, heartbeat: Heartbeat) -> None:
        """Fetch documents of which the peer has a newer, different version."""
        versions = heartbeat.document_versions or tuple(
            replace(row, version=self._with_era(row.key, row.version))
            for row in heartbeat.config_versions
        )
        later = (
            row
            for row in heartbeat.later_versions
            if row.key in self._later_keys
        )
        for row in (*versions, *later):
            self._documents.advance_revision(row.key, row.version, row.digest)
            if self._may_fetch(peer, row.key) and self._documents.is_wanted(
                row.key, row.version, row.digest
            ):
                under_way = self._fetching.setdefault(row.key, {})
                under_way[peer] = asyncio.get_running_loop().time()
                self._tasks.spawn(self._fetch(peer, row.key))

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

    def _may_fetch(self, peer: str, key: str) -> bool:
        """State whether no fetch of the document is soon to be answered."""
        under_way = self._fetching.get(key)
        if not under_way:
            return True
        waited_s = asyncio.get_running_loop().time() - max(under_way.values())
        return (
            waited_s >= SLOW_FETCH_S
            and peer not in under_way
            and len(under_way) < MAX_FETCHES
        )

    def _all(self) -> Iterator[ConfigVersion]:
        for key, revision in self._documents.revisions.items():
            yield ConfigVersion(key, revision, self._documents.digest(key))

    def _find(self, key: str) -> Document | None:
        provider = self._providers.get(key)
        return provider() if provider else self._documents.get(key)

    def _with_era(self, key: str, revision: int) -> int:
        held = self._documents.revisions.get(key, 0)
        return store_version(era_of(held), revision_of(revision))

    async def _fetch(self, peer: str, key: str) -> None:
        try:
            request = ConfigFetch(keys=(key,), knows_eras=True)
            answer = await self._call(peer, request, FETCH_TIMEOUT_S)
        except OriolegaugeError as error:
            log.info('document fetch failed', peer=peer, error=error.message)
            return
        finally:
            del self._fetching[key][peer]
        if isinstance(answer, ConfigObjects):
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
