"""Places of this daemon at servers that fall over if they reject too much.

Such a server rejects requests when its slots are taken and no more may wait.
Daemons that each keep to their part of the slots never meet that, whatever
their callers want.
"""

import math
from collections import Counter
from collections.abc import Callable, Sequence

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverlimits import parse_rate
from oriolegauge.routing.brittleservices import BrittleServices
from oriolegauge.routing.placeshares import PlaceShares

# Weight of a new sample in the mean time for which a place is taken.
SAMPLE_WEIGHT = 0.05
# A server falls over at the latest of the rejections of one second, and the
# connections that it ends are noticed within another.
FALL_MEMORY_S = 2.0


class ServerPlaces:
    """Count the requests at all servers, and bound them at brittle ones."""

    def __init__(
        self,
        brittle: BrittleServices,
        shares: PlaceShares,
        clock: Callable[[], float],
    ) -> None:
        """Keep to `shares` at the servers of the services that are brittle."""
        self._brittle = brittle
        self._shares = shares
        self._clock = clock
        self._rejected_at: dict[str, float] = {}
        # Requests run already when a service becomes brittle.
        self._running: Counter[ServerInstance] = Counter()
        self._mean_s: dict[str, float] = {}

    def is_bounded(self, service: str) -> bool:
        """State whether the places at the service's servers are bounded."""
        return self._brittle.is_brittle(service)

    def has_free(self, server: BackendServer) -> bool:
        """State whether one more request may be sent to the server."""
        if not self.is_bounded(server.service):
            return True
        part = self._shares.part(server.instance, server.slots)
        return self._running[server.server_instance] < part

    def take(self, server: BackendServer) -> bool:
        """Take a place for a request; return false if none is free."""
        if not self.has_free(server):
            return False
        self._running[server.server_instance] += 1
        return True

    def give_back(self, server_instance: ServerInstance) -> None:
        """Free the place of a request that has ended or was not sent."""
        self._running[server_instance] -= 1
        if self._running[server_instance] <= 0:
            del self._running[server_instance]

    def note_ended(self, service: str, seconds: float) -> None:
        """Record for how long a request has run at a server of the service."""
        mean_s = self._mean_s.setdefault(service, seconds)
        self._mean_s[service] += SAMPLE_WEIGHT * (seconds - mean_s)

    def note_reply(
        self, service: str, text: str | None, sent_at: float
    ) -> None:
        """Record the rejections a second that a reply says a server bears.

        `text` is the header, if there is one, `sent_at` the loop time at which
        the request was sent.
        """
        bears = parse_rate(text) if text else None
        if bears is None:
            self._brittle.note_unnamed(service, sent_at)
        else:
            self._brittle.note(service, bears)

    def note_rejected(self, service: str) -> None:
        """Record that a server of the service was full."""
        if self.is_bounded(service):
            self._rejected_at[service] = self._clock()

    def may_have_fallen(self, service: str) -> bool:
        """State whether rejections explain the crash of a server."""
        rejected_at = self._rejected_at.get(service, -math.inf)
        return self._clock() - rejected_at < FALL_MEMORY_S

    def has_part(self, holder: str, servers: Sequence[BackendServer]) -> bool:
        """State whether a daemon may use a slot of any of the servers."""
        return any(
            holder in self._shares.holders(server.instance, server.slots)
            for server in servers
        )

    def per_s(self, service: str, servers: Sequence[BackendServer]) -> float:
        """Return how many requests a second end at this daemon's places."""
        places = sum(
            self._shares.part(server.instance, server.slots)
            for server in servers
        )
        mean_s = self._mean_s.get(service, 0)
        return places / mean_s if mean_s > 0 else 0


def lone_daemon_places(clock: Callable[[], float]) -> ServerPlaces:
    """Return the places of a daemon that has all slots to itself."""
    return ServerPlaces(
        BrittleServices(clock, on_change=lambda: None),
        PlaceShares('', holders=lambda: {''}, clock=clock),
        clock,
    )
