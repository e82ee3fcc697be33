"""Configuration of the routed forwarder; one version is in force at a time."""

from dataclasses import dataclass

from oriolegauge.forwarding.route import Route


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Describe the backend servers of one service.

    `tokens_per_event` bounds the output tokens of one stream event and `slots`
    the requests that a server runs at once; both are None if unknown.
    """

    name: str
    max_connections: int
    tokens_per_event: int | None = None
    slots: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Describe a team: its caller keys, priority and prepaid tokens.

    Without `prepaid_tokens` the team's use is not limited.
    """

    name: str
    caller_keys: frozenset[str] = frozenset()
    priority: int | None = None
    prepaid_tokens: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingConfig:
    """Hold a whole version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()
