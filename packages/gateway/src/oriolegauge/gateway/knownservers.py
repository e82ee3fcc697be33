"""Knowledge of one daemon about the backend servers."""

import random
from collections.abc import Callable, Collection, Hashable

from oriolegauge.forwarding.evacuatedzones import EvacuatedZones
from oriolegauge.forwarding.leavinginstances import (
    LeavingInstances,
    ServerInstance,
)
from oriolegauge.forwarding.serverdirectory import ServerDirectory
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.forwarding.serverplaces import ServerPlaces
from oriolegauge.gateway.coldserverlist import ColdServerList
from oriolegauge.grants import HostClocks
from oriolegauge.routing.brittleservices import BrittleServices
from oriolegauge.routing.coldservers import ColdServers
from oriolegauge.routing.placeshares import PlaceShares
from oriolegauge.routing.serverpauses import ServerPauses
from oriolegauge.routing.servicereach import ServiceReach


class KnownServers:
    """Hold the list of servers, and which take no or limited work."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        host_clocks: HostClocks,
        rng: random.Random,
        on_leaving_instance: Callable[[], None],
        on_limit: Callable[[str], None],
        on_cold: Callable[[], None],
        on_reach: Callable[[], None],
        on_brittle: Callable[[], None],
    ) -> None:
        """Call `on_limit(instance)` when a server names another rate.

        Call `on_cold` when a server becomes cold or warm, `on_reach` when a
        service gets in or out of reach, `on_brittle` when its servers become
        brittle or are no longer.
        """
        self._clock = clock
        self._places: ServerPlaces | None = None
        self._on_cold = on_cold
        self.leaving_instances = LeavingInstances(clock, on_leaving_instance)
        self.evacuated_zones = EvacuatedZones(self._note_returned)
        self.directory = ServerDirectory(
            clock, self.leaving_instances, self.evacuated_zones
        )
        self.pauses = ServerPauses(rng)
        cold_servers = ColdServers(self._note_cold)
        self.cold = ColdServerList(
            cold_servers, host_clocks, lambda: self.directory.servers
        )
        self.limits = ServerLimits(
            lambda: host_clocks.now().boot_s,
            on_change=on_limit,
            cold_servers=cold_servers,
        )
        self.brittle = BrittleServices(clock, on_brittle)
        self.reach = ServiceReach(
            clock=clock, servers_of=self._servers_of, on_change=on_reach
        )

    def divide_places(
        self, own: str, holders: Callable[[], Collection[str]]
    ) -> ServerPlaces:
        """Return the places of the daemon `own` among the `holders`."""
        self._places = ServerPlaces(
            self.brittle,
            PlaceShares(own, holders, self._clock),
            self._clock,
        )
        return self._places

    def has_place(self, holder: str, service: str) -> bool:
        """State whether a daemon may send requests to the service.

        All may, except that some have no part of the slots of brittle servers.
        """
        places = self._places
        if places is None or not places.is_bounded(service):
            return True
        return places.has_part(holder, self.directory.of_service(service))

    def _servers_of(self, service: str) -> list[str]:
        return [
            server.instance for server in self.directory.of_service(service)
        ]

    def _note_returned(self, zones: Collection[str]) -> None:
        self.cold.zones_returned(zones)

    def _note_cold(self, server: Hashable) -> None:
        if isinstance(server, ServerInstance):
            self.pauses.release(server.instance)
        self._on_cold()
