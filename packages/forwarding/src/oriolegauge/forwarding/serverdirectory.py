"""Backend servers by service, from the newest list in the store."""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.leavinginstances import LeavingInstances


class ServerDirectory:
    """Hold the servers of the newest known revision of the list."""

    def __init__(
        self,
        clock: Callable[[], float],
        leaving_instances: LeavingInstances,
        evacuated_zones: Collection[str] = (),
    ) -> None:
        """Start without servers; those in evacuated zones get no new work."""
        self._clock = clock
        self._leaving_instances = leaving_instances
        self._evacuated_zones = evacuated_zones
        self._by_service: dict[str, list[BackendServer]] = {}
        self._servers: dict[str, BackendServer] = {}
        self._missing_until: dict[str, float] = {}
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """State whether a list of servers was received."""
        return self._is_known

    @property
    def instances(self) -> Sequence[str]:
        """Return the names of all servers."""
        return list(self._servers)

    @property
    def servers(self) -> Collection[BackendServer]:
        """Return all servers."""
        return self._servers.values()

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the servers of the service that may take new work."""
        found = self._not_leaving(service)
        if not self._evacuated_zones:
            return found
        return [
            server
            for server in found
            if server.zone not in self._evacuated_zones
        ]

    def evacuated_zones_of(self, service: str) -> set[str]:
        """Return the evacuated zones in which the service has servers."""
        zones = {server.zone for server in self._not_leaving(service)}
        return {zone for zone in zones if zone in self._evacuated_zones}

    def versions_of(self, service: str) -> Counter[str]:
        """Count the servers of each version that may take new work."""
        return Counter(server.version for server in self.of_service(service))

    def is_leaving(self, instance: str) -> bool:
        """State whether the server takes no new work, or is not listed."""
        server = self._servers.get(instance)
        return (
            server is None
            or server.is_leaving
            or self._announced_leaving(server)
        )

    def replace(
        self, servers: Iterable[BackendServer], *, keep_missing_until: float
    ) -> list[str]:
        """Replace the list; return the names of servers that have restarted.

        Servers missing from the new list stay in use until the loop time
        `keep_missing_until`.
        """
        now = self._clock()
        known = {server.instance: server for server in servers}
        restarted = [
            name
            for name, server in known.items()
            if name in self._servers
            and self._servers[name].started_ms != server.started_ms
        ]
        missing = {
            name: self._missing_until.get(name, keep_missing_until)
            for name, server in self._servers.items()
            if name not in known and not server.is_leaving
        }
        self._missing_until = {
            name: until for name, until in missing.items() if until > now
        }
        known |= {name: self._servers[name] for name in self._missing_until}
        self._servers = known
        self._is_known = True
        self._by_service = {}
        for server in known.values():
            self._by_service.setdefault(server.service, []).append(server)
        self._leaving_instances.keep(
            {server.server_instance for server in known.values()}
        )
        return restarted

    def _not_leaving(self, service: str) -> list[BackendServer]:
        now = self._clock()
        return [
            server
            for server in self._by_service.get(service, ())
            if not (server.is_leaving or self._announced_leaving(server))
            and self._missing_until.get(server.instance, math.inf) > now
        ]

    def _announced_leaving(self, server: BackendServer) -> bool:
        return (
            bool(self._leaving_instances)
            and server.server_instance in self._leaving_instances
        )
