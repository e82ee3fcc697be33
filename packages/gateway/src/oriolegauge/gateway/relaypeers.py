"""Daemons that can serve requests for one that reaches no server."""

import random
from collections.abc import Callable, Collection

from oriolegauge.admission import HostLink
from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.forwarding import HeaderNames
from oriolegauge.forwarding.connectionpool import ConnectionPool
from oriolegauge.forwarding.peerrelay import PeerRelay, RelayPeer
from oriolegauge.gateway.fleetlinks import FleetLinks
from oriolegauge.gateway.knownservers import KnownServers
from oriolegauge.gateway.shareddocuments import SharedDocuments
from oriolegauge.wire.messages import Heartbeat

_SERVING = 'serving'


class FleetRelayPeers:
    """Select daemons by their heartbeats."""

    def __init__(
        self,
        *,
        links: FleetLinks,
        documents: SharedDocuments,
        config_kind: str,
        may_serve: Callable[[str, str], bool],
    ) -> None:
        """Require the configuration that `documents` holds, or a newer one.

        `may_serve(peer, service)` tells whether the peer has a place at the
        servers of a service, if their slots are divided.
        """
        self._links = links
        self._may_serve = may_serve
        self._documents = documents
        self._config_kind = config_kind

    def find(self, service: str, excluded: Collection[str]) -> list[RelayPeer]:
        """Return the daemons that may reach a server of the service."""
        return [
            RelayPeer(name, (name.rpartition(':')[0], heartbeat.relay_port))
            for name, heartbeat in self._links.fresh_heartbeats().items()
            if name not in excluded
            and self._is_fit(heartbeat, service)
            and self._may_serve(name, service)
        ]

    def _is_fit(self, heartbeat: Heartbeat, service: str) -> bool:
        return (
            heartbeat.relay_port > 0
            and heartbeat.state == _SERVING
            and service not in heartbeat.lost_services
            and self._is_current(heartbeat)
        )

    def _is_current(self, heartbeat: Heartbeat) -> bool:
        """State whether the daemon holds no older configuration.

        Otherwise a caller could meet a version that this daemon has replaced.
        """
        key = self._config_kind
        held = self._documents.get(key)
        if held is None:
            return True
        own_version = self._documents.revisions[key]
        return any(
            row.key == key
            and (row.version >= own_version or row.digest == held.digest)
            for row in heartbeat.document_versions
        )


def fleet_relay(
    *,
    peers: FleetRelayPeers,
    servers: KnownServers,
    pool: ConnectionPool,
    names: HeaderNames,
    buffers: ByteBudget,
    link: HostLink,
    rng: random.Random,
) -> PeerRelay:
    """Return the relay of a daemon that knows the servers."""

    def test_server(service: str) -> None:
        usable = servers.directory.of_service(service)
        if usable:
            pool.test(rng.choice(usable))

    return PeerRelay(
        peers=peers,
        reach=servers.reach,
        test_server=test_server,
        names=names,
        buffers=buffers,
        choose=rng.choice,
        traffic=link,
    )
