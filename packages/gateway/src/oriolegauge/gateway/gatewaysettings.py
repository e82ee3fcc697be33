"""Settings of the routed gateway."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddress:
    """Name an address to listen on, and a path for HTTP checks."""

    host: str
    port: int
    path: str = '/'


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Describe one daemon of a gateway fleet.

    `retry_slack` is the number of retries in a window, beyond `retry_share` of
    the requests, that all daemons together may send to a service.
    `cores` and `link_mbps` tell what the host has for other daemons.
    `memory_bytes` is all that the process may use.
    `grace_s` is the time between SIGTERM and the end of the process.
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
    retry_share: float
    retry_slack: float
    grace_s: float
    max_caller_connections: int
    cores: float
    link_mbps: float
    memory_bytes: int = 256 * 1024 * 1024
    peers: tuple = ()
    peer_timeout_s: float = 0.6
    max_peer_message_bytes: int = 8 * 1024 * 1024
    connect_timeout_s: float = 0.3
