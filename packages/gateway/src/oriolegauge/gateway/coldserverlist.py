"""Notes the cold servers of the store's lists."""

from collections.abc import Callable, Collection, Iterable

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.forwardingconfig import ForwardingConfig
from oriolegauge.grants import HostClocks
from oriolegauge.routing.coldservers import ColdServers, ColdTerms, ServerEntry


class ColdServerList:
    """Pass configuration and server entries to `ColdServers`."""

    def __init__(
        self,
        cold_servers: ColdServers,
        host_clocks: HostClocks,
        listed: Callable[[], Collection[BackendServer]],
    ) -> None:
        """Use the boot clock; `listed` returns all known servers."""
        self._cold_servers = cold_servers
        self._host_clocks = host_clocks
        self._listed = listed

    @property
    def count(self) -> int:
        """Return the number of cold servers."""
        return len(self._cold_servers.cold(self._now()))

    def config_changed(self, config: ForwardingConfig) -> None:
        """Use the cold times and rates of a configuration."""
        self._cold_servers.set_terms(
            {
                service.name: ColdTerms(service.cold_s, service.cold_per_s)
                for service in config.services
            },
            self._now(),
        )

    def servers_changed(self, servers: Iterable[BackendServer]) -> None:
        """Note the entries of a list that was just read."""
        times = self._host_clocks.now()
        self._cold_servers.note_entries(
            [
                ServerEntry(
                    server=server.server_instance,
                    service=server.service,
                    left_s=server.cold_left_s,
                    age_s=(
                        times.wall_s - server.started_ms / 1000
                        if server.started_ms
                        else None
                    ),
                )
                for server in servers
            ],
            times.boot_s,
        )

    def zones_returned(self, zones: Collection[str]) -> None:
        """Note the servers of zones whose evacuation has ended as cold."""
        self._cold_servers.note_returned(
            [
                server.server_instance
                for server in self._listed()
                if server.zone in zones
            ],
            self._now(),
        )

    def expire(self) -> None:
        """Report the servers whose cold time has ended."""
        self._cold_servers.expire(self._now())

    def _now(self) -> float:
        return self._host_clocks.now().boot_s
