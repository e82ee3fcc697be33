"""Settings of a gateway daemon."""

from dataclasses import dataclass

from oriolegauge.forwarding.drainplan import DrainPlan

# Part of the time in which a change has to be in force; the rest is for a call.
MAX_READING_AGE_SHARE = 2 / 3


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddress:
    """Address to listen on; `path` is that of an HTTP check."""

    host: str
    port: int
    path: str = '/'


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of one daemon of a gateway fleet.

    `retry_share` limits retries to that share of the requests. `retry_slack` is
    the number of further retries in a window that all daemons together may send
    to a service.
    `cores` and `link_mbps` are the capacity of the host.
    `memory_bytes` is the memory that the process may use.
    `config_apply_s` is the time after its confirmation within which a change of
    the configuration has to be in force.
    `grace_s` is the time between SIGTERM and the exit of the process.
    `evacuations_kind` is the kind of the objects that request evacuations of
    availability zones; None if none are followed.
    `adapts_to_load` turns on placement by learned speeds and load shedding.
    `relay_port` takes requests of daemons that reach no server, at the address
    of the peer port; 0 takes none.
    `is_first_start` states that the whole fleet starts for the first time.
    """

    name: str
    zone: str
    address: str
    callers: ListenAddress
    ready: ListenAddress
    metrics: ListenAddress | None
    peer_port: int
    config_kind: str
    server_kind: str
    member_kind: str
    grants_kind: str
    limits_kind: str
    crashes_kind: str
    streams_kind: str
    retry_share: float
    retry_slack: float
    grace_s: float
    max_caller_connections: int
    cores: float
    link_mbps: float
    config_apply_s: float = 2.0
    is_first_start: bool = True
    relay_port: int = 0
    evacuations_kind: str | None = None
    adapts_to_load: bool = False
    memory_bytes: int = 256 * 1024 * 1024
    peers: tuple = ()
    peer_timeout_s: float = 0.6
    max_peer_message_bytes: int = 8 * 1024 * 1024
    connect_timeout_s: float = 0.3

    @property
    def max_reading_age_s(self) -> float:
        """Return the age at which what is known of the store is too old."""
        return self.config_apply_s * MAX_READING_AGE_SHARE

    def drain_plan(self, began_at: float) -> DrainPlan:
        """Return the plan of a stop that began at the loop time (s)."""
        return DrainPlan.for_grace(began_at, self.grace_s)
