"""What the daemons of a fleet tell each other."""

import asyncio
from collections import Counter
from collections.abc import Callable

import structlog

from oriolegauge.budget.messages import Ack
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.grants import GrantKeeper
from oriolegauge.mesh import PeerMesh
from oriolegauge.routing.serverchooser import PeerLoad, ServerChooser
from oriolegauge.wire import Sender
from oriolegauge.wire.messages import (
    ConfigFetch,
    ConfigObject,
    ConfigObjects,
    ConfigVersion,
    GrantAsk,
    GrantGiven,
    Heartbeat,
    Message,
    ServerInFlight,
)

# Load reports of a daemon that has been silent for longer say nothing.
HEARD_WITHIN_S = 1.5
# A peer without a link for this time has been replaced.
FORGET_PEER_S = 60.0
# An unspent token of a peer is worth a wait of this long to a request.
ASK_TIMEOUT_S = 0.25

log = structlog.get_logger()


class FleetLinks:
    """Share documents, loads and unspent grants with the other daemons.

    A daemon's name is the address of its peer port, so that a heartbeat from
    an unknown daemon tells where to reach it.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        zone: str,
        documents: SharedDocuments,
        chooser: ServerChooser,
        state: Callable[[], str],
        clock: Callable[[], float],
    ) -> None:
        """Report `state`, the lifecycle state, to the others."""
        self._name = name
        self._incarnation = incarnation
        self._zone = zone
        self._documents = documents
        self._chooser = chooser
        self._state = state
        self._clock = clock
        self._mesh: PeerMesh | None = None
        self._keeper: GrantKeeper | None = None
        self._linked_at: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def members(self) -> int:
        """Return the number of daemons, this one included."""
        return 1 + (len(self._mesh.names) if self._mesh else 0)

    @property
    def linked(self) -> int:
        """Return the number of daemons that a link is open to."""
        return len(self._mesh.peers()) if self._mesh else 0

    def attach(self, mesh: PeerMesh, keeper: GrantKeeper) -> None:
        """Use the links of the mesh and give from the keeper's grants."""
        self._mesh = mesh
        self._keeper = keeper

    def meet(self, name: str) -> None:
        """Keep a link to a daemon that was heard of."""
        if self._mesh is None or name in {self._name, *self._mesh.names}:
            return
        log.info('peer found', peer=name)
        self._linked_at[name] = self._clock()
        self._mesh.add_peer(name, name)

    async def answer(self, sender: Sender, message: Message) -> Message | None:
        """Answer a message of a peer."""
        match message:
            case Heartbeat():
                self.meet(sender.name)
                return None
            case ConfigFetch(keys=keys):
                return self._hold_out(keys)
            case GrantAsk(team=team, tokens=tokens) if self._keeper:
                given = self._keeper.give(team, tokens)
                log.info(
                    'grant given', team=team, tokens=given, peer=sender.name
                )
                return GrantGiven(team=team, tokens=given)
            case _:
                return Ack(accepted=False)

    async def ask(self, team: str, tokens: int) -> int:
        """Take up to that many unspent tokens of a team from peers.

        What is given beyond the need stays here. An answer that is lost
        strands its tokens, which never lets a team overspend.
        """
        mesh = self._mesh
        if mesh is None:
            return 0
        answers = await asyncio.gather(
            *(
                mesh.link(peer.name).call(
                    GrantAsk(team=team, tokens=tokens), ASK_TIMEOUT_S
                )
                for peer in mesh.peers()
            ),
            return_exceptions=True,
        )
        return sum(
            answer.tokens
            for answer in answers
            if isinstance(answer, GrantGiven)
        )

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(
            member=self._name,
            incarnation=self._incarnation,
            zone=self._zone,
            state=self._state(),
            config_versions=tuple(
                ConfigVersion(key, revision)
                for key, revision in self._documents.revisions.items()
            ),
            in_flight=tuple(
                ServerInFlight(name, load.requests, load.prompt_tokens)
                for name, load in self._chooser.own_loads().items()
            ),
        )

    def after_beat(self) -> None:
        """Take over what the peers last reported."""
        mesh = self._mesh
        if mesh is None:
            return
        now = self._clock()
        requests: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        for name, heard in mesh.heartbeats.items():
            if now - heard.heard_at > HEARD_WITHIN_S:
                continue
            for row in heard.heartbeat.in_flight:
                requests[row.server] += row.requests
                tokens[row.server] += row.tokens
            self._fetch_news(name, heard.heartbeat)
        self._chooser.note_peers(
            {
                server: PeerLoad(count, tokens[server])
                for server, count in requests.items()
            }
        )
        self._forget_lost(mesh, now)

    def _forget_lost(self, mesh: PeerMesh, now: float) -> None:
        for name in list(mesh.names):
            if mesh.link(name).connected:
                self._linked_at[name] = now
            elif now - self._linked_at.setdefault(name, now) > FORGET_PEER_S:
                log.info('peer forgotten', peer=name)
                mesh.remove_peer(name)
                self._linked_at.pop(name)

    def _fetch_news(self, peer: str, heartbeat: Heartbeat) -> None:
        for row in heartbeat.config_versions:
            is_wanted = row.key not in self._fetching
            if is_wanted and self._documents.is_news(row.key, row.version):
                self._fetching.add(row.key)
                task = asyncio.create_task(self._fetch(peer, row.key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _fetch(self, peer: str, key: str) -> None:
        assert self._mesh is not None
        try:
            answer = await self._mesh.call(peer, ConfigFetch(keys=(key,)))
        except OriolegaugeError as error:
            log.info('no document from peer', peer=peer, error=error.message)
            return
        finally:
            self._fetching.discard(key)
        if not isinstance(answer, ConfigObjects):
            return
        for row in answer.objects:
            self._documents.offer(
                row.key, Document(row.version, row.value, peer)
            )

    def _hold_out(self, keys: tuple[str, ...]) -> ConfigObjects:
        held = ((key, self._documents.get(key)) for key in keys)
        return ConfigObjects(
            objects=tuple(
                ConfigObject(key, document.revision, document.payload)
                for key, document in held
                if document
            )
        )
