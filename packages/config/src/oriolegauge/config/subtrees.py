"""Typed subtrees of the configuration."""

from dataclasses import field
from enum import StrEnum
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator
from pydantic.dataclasses import dataclass

from oriolegauge.config.fields import (
    STRICT,
    BudgetName,
    HttpUrl,
    KeyHash,
    ModelName,
    Name,
    NameOrAll,
)

MAX_CHANGES = 16
MAX_QUEUE = 100_000
MAX_SHARE = 0.5

Everything = ('*',)
PriorityName = Literal['urgent', 'normal', 'batch']
Method = Literal['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE']


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Change:
    """Name one change of an object, its author and its Unix time."""

    id: str = Field(min_length=1, max_length=100)
    author: str = Field(max_length=200)
    at_unix_s: int = Field(ge=0)


Changes = Annotated[tuple[Change, ...], Field(max_length=MAX_CHANGES)]


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class CallerKey:
    """Link a hashed caller key to a budget of its team."""

    budget: BudgetName
    expires_unix_s: int | None = Field(default=None, gt=0)

    def expired(self, unix_s: float) -> bool:
        """Tell whether the key is no longer valid at this Unix time."""
        return self.expires_unix_s is not None and (
            unix_s >= self.expires_unix_s
        )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Team:
    """Hold the subtree of one team."""

    priority: PriorityName = 'normal'
    models: tuple[ModelName, ...] = Everything
    servers: tuple[NameOrAll, ...] = Everything
    services: tuple[NameOrAll, ...] = Everything
    keys: dict[KeyHash, CallerKey] = field(default_factory=dict)
    deleted: bool = False
    changes: Changes = ()

    @model_validator(mode='after')
    def _check_deletion(self) -> Self:
        if self.deleted and self.keys:
            raise ValueError('a deleted team has no keys')
        return self


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class EngineEntry:
    """Describe one model engine."""

    url: HttpUrl
    zone: Name
    models: tuple[ModelName, ...]
    leaving: bool = False
    obeys_fencing: bool = True
    can_resume: bool = True


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Servers:
    """Hold the subtree of all model engines."""

    engines: dict[Name, EngineEntry] = field(default_factory=dict)
    changes: Changes = ()


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Service:
    """Describe one plain service, its backend servers and its price."""

    urls: dict[Name, HttpUrl] = Field(min_length=1)
    tokens_per_call: int = Field(default=1, ge=0, le=1_000_000)
    non_idempotent_methods: tuple[Method, ...] = ('POST',)
    timeout_s: float = Field(default=30, gt=0, le=3_600)


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Services:
    """Hold the subtree of all plain services."""

    services: dict[Name, Service] = field(default_factory=dict)
    changes: Changes = ()


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class QueueLengths:
    """Bound the queue of each priority class, in requests per daemon."""

    urgent: int = Field(default=200, ge=1, le=MAX_QUEUE)
    normal: int = Field(default=500, ge=1, le=MAX_QUEUE)
    batch: int = Field(default=1_000, ge=1, le=MAX_QUEUE)


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Limits:
    """Hold the limits that all daemons share."""

    max_body_bytes: int = Field(default=1_000_000, ge=1_024, le=100_000_000)
    max_request_s: float = Field(default=600, ge=1, le=86_400)
    default_max_tokens: int = Field(default=256, ge=1, le=1_000_000)
    queue_lengths: QueueLengths = field(default_factory=QueueLengths)
    retry_share: float = Field(default=0.1, ge=0, le=MAX_SHARE)
    hedge_share: float = Field(default=0.02, ge=0, le=MAX_SHARE)
    changes: Changes = ()


class Role(StrEnum):
    """Right of an operator; each role includes the ones before it."""

    READ = 'read'
    OPERATE = 'operate'
    ADMIN = 'admin'

    @property
    def level(self) -> int:
        """Return the position of the role, 0 for the weakest."""
        return list(Role).index(self)


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class OperatorEntry:
    """Describe one operator by the hash of the token."""

    token_hash: KeyHash
    role: Role
    subtrees: tuple[str, ...] = ()
    expires_unix_s: int | None = Field(default=None, gt=0)


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Operators:
    """Hold the operators, by name; without any, every operator is admin."""

    operators: dict[Name, OperatorEntry] = field(default_factory=dict)
    changes: Changes = ()

    def find(self, token_hash: str, unix_s: float) -> OperatorEntry | None:
        """Return the entry of a hashed token, or None if unknown or expired."""
        for entry in self.operators.values():
            if entry.token_hash == token_hash:
                expires = entry.expires_unix_s
                return entry if expires is None or unix_s < expires else None
        return None

    def permits(
        self,
        token_hash: str,
        *,
        role: Role,
        unix_s: float,
        key: str | None = None,
    ) -> bool:
        """Tell whether the token has the role and may change the object."""
        if not self.operators:
            return True
        entry = self.find(token_hash, unix_s)
        if entry is None or entry.role.level < role.level:
            return False
        if key is None or entry.role is Role.ADMIN:
            return True
        return any(
            key == subtree or key.startswith(f'{subtree}/')
            for subtree in entry.subtrees
        )
