"""Configuration of the forwarder: routes, services, workspaces and limits."""

from dataclasses import dataclass

from oriolegauge.forwarding.route import Route


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Describe the backend servers of one service.

    `max_connections` applies to each server. `tokens_per_event` is the most
    output tokens of one stream event, and `slots` the number of requests that a
    server runs at once; both are None if unknown. `memory_tokens` is the number
    of tokens that an engine can hold. For `cold_s` after its start a server
    takes only `cold_per_s` requests per second. These are 0 if unknown.
    """

    name: str
    max_connections: int
    tokens_per_event: int | None = None
    slots: int | None = None
    memory_tokens: int = 0
    cold_s: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Describe a team: its caller keys, priority and prepaid tokens.

    Without `prepaid_tokens` the team may use any number of tokens.
    """

    name: str
    caller_keys: frozenset[str] = frozenset()
    priority: int | None = None
    prepaid_tokens: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limit the size of a request and the time to receive it."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingConfig:
    """Hold one complete version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()
