"""Typed subtrees of the configuration."""

from dataclasses import field

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

STRICT = ConfigDict(extra='forbid', strict=False)


@dataclass(frozen=True, config=STRICT, kw_only=True)
class CallerKey:
    """Link a hashed caller key to a budget of its team."""

    budget: str


@dataclass(frozen=True, config=STRICT, kw_only=True)
class Team:
    """Hold the subtree of one team."""

    priority: str = 'normal'
    models: tuple[str, ...] = ('*',)
    servers: tuple[str, ...] = ('*',)
    services: tuple[str, ...] = ('*',)
    keys: dict[str, CallerKey] = field(default_factory=dict)


@dataclass(frozen=True, config=STRICT, kw_only=True)
class EngineEntry:
    """Describe one model engine."""

    url: str
    zone: str
    models: tuple[str, ...]
    leaving: bool = False
    obeys_fencing: bool = True
    can_resume: bool = True


@dataclass(frozen=True, config=STRICT, kw_only=True)
class Servers:
    """Hold the subtree of all model engines."""

    engines: dict[str, EngineEntry]


@dataclass(frozen=True, config=STRICT, kw_only=True)
class Service:
    """Describe one plain service and its price."""

    urls: dict[str, str]
    tokens_per_call: int = 1
    non_idempotent_methods: tuple[str, ...] = ('POST',)


@dataclass(frozen=True, config=STRICT, kw_only=True)
class Services:
    """Hold the subtree of all plain services."""

    services: dict[str, Service]
