"""Services of which this host reaches no server.

Matters when the links from a host to the servers are cut while callers, the
store and the other daemons still reach it. What this host believes says nothing
of the servers: the beliefs of its peers tell whether they are down.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import structlog

# A service is out of reach once this many of its servers, or all if it has
# fewer, accepted no connection and none has answered since.
MIN_FAILED_SERVERS = 3
# Without another failure the belief ends after this time, and the next request
# finds out again. Requests that go elsewhere test a server more often.
BELIEF_S = 3.0
TEST_PERIOD_S = 0.3

log = structlog.get_logger()


@dataclass(slots=True)
class _Failures:
    """Hold the servers that failed since one answered, and loop times (s)."""

    servers: set[str] = field(default_factory=set)
    first_at: float = -math.inf
    last_at: float = -math.inf
    tested_at: float = -math.inf
    is_reported: bool = False


class ServiceReach:
    """Tell which services have no server that this host reaches."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        servers_of: Callable[[str], Collection[str]],
        on_change: Callable[[], None],
    ) -> None:
        """Start with all services in reach.

        `servers_of(service)` returns the servers in use. `on_change` is called
        when a service gets in or out of reach.
        """
        self._clock = clock
        self._servers_of = servers_of
        self._on_change = on_change
        self._failures: dict[str, _Failures] = {}

    @property
    def lost_services(self) -> tuple[str, ...]:
        """Return the services that are out of reach."""
        return tuple(
            service for service in self._failures if self.is_lost(service)
        )

    def note_failed(self, service: str, server: str) -> None:
        """Note that a server accepted no connection."""
        found = self._failures.setdefault(service, _Failures())
        now = self._clock()
        if not found.servers or now - found.last_at > BELIEF_S:
            found.servers.clear()
            found.first_at = now
        found.servers.add(server)
        found.last_at = now
        if self.is_lost(service) and not found.is_reported:
            found.is_reported = True
            log.warning(
                'service out of reach',
                service=service,
                failed=sorted(found.servers),
                after_s=round(now - found.first_at, 3),
            )
            self._on_change()

    def note_reached(self, service: str) -> None:
        """Note that a server accepted a connection or answered."""
        found = self._failures.pop(service, None)
        if found and found.is_reported:
            log.info(
                'service in reach again',
                service=service,
                after_s=round(self._clock() - found.first_at, 3),
            )
            self._on_change()

    def is_lost(self, service: str) -> bool:
        """State whether no server of the service can be reached."""
        found = self._failures.get(service)
        if found is None or self._clock() - found.last_at > BELIEF_S:
            return False
        servers = self._servers_of(service)
        failed = found.servers.intersection(servers)
        return bool(failed) and len(failed) >= min(
            MIN_FAILED_SERVERS, len(servers)
        )

    def take_test(self, service: str) -> bool:
        """State whether a server should be tested now, at most once a period.

        Only tests show the end of a cut while all requests go elsewhere.
        """
        found = self._failures.get(service)
        now = self._clock()
        if found is None or now - found.tested_at < TEST_PERIOD_S:
            return False
        found.tested_at = now
        return True
