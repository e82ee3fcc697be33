"""Types of the configuration subtrees that the fleet shares."""

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

EVERYTHING = ('*',)
PriorityName = Literal['urgent', 'normal', 'batch']
Method = Literal['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE']


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Change:
    """Record the id, author and Unix time of one change of an object."""

    id: str = Field(min_length=1, max_length=100)
    author: str = Field(max_length=200)
    at_unix_s: int = Field(ge=0)


Changes = Annotated[
    tuple[Change, ...],
    Field(
        max_length=MAX_CHANGES,
        description='Last changes, kept by the command-line tool.',
    ),
]


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class CallerKey:
    """Link a hashed caller key to a budget of its team."""

    budget: BudgetName = Field(
        description='Budget of the team, without the team name.'
    )
    expires_unix_s: int | None = Field(
        default=None, gt=0, description='Unix time from which it is refused.'
    )

    def expired(self, unix_s: float) -> bool:
        """Tell whether the key is no longer valid at this Unix time."""
        return self.expires_unix_s is not None and (
            unix_s >= self.expires_unix_s
        )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Team:
    """Hold the configuration of one team."""

    priority: PriorityName = Field(
        default='normal', description='Highest priority class of the team.'
    )
    models: tuple[ModelName, ...] = Field(
        default=EVERYTHING, description='Models that the team may use.'
    )
    servers: tuple[NameOrAll, ...] = Field(
        default=EVERYTHING, description='Model engines that the team may use.'
    )
    services: tuple[NameOrAll, ...] = Field(
        default=EVERYTHING, description='Plain services that the team may use.'
    )
    keys: dict[KeyHash, CallerKey] = Field(
        default_factory=dict,
        description='Caller keys by SHA-256 hash in hexadecimal.',
    )
    deleted: bool = Field(
        default=False,
        description='The team is deleted. The object is kept, so that its '
        'version continues to rise.',
    )
    changes: Changes = ()

    @model_validator(mode='after')
    def _check_deletion(self) -> Self:
        if self.deleted and self.keys:
            raise ValueError('a deleted team has no keys')
        return self


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class EngineEntry:
    """Describe one model engine."""

    url: HttpUrl = Field(description='URL by IP address.')
    zone: Name = Field(description='Availability zone.')
    models: tuple[ModelName, ...] = Field(
        description='Models that it can serve.'
    )
    leaving: bool = Field(default=False, description='It receives no new work.')
    obeys_fencing: bool = Field(
        default=True,
        description='It rejects commands with an old fencing number.',
    )
    can_resume: bool = Field(
        default=True,
        description='It can continue a stream after the text generated so far.',
    )
    may_load: tuple[ModelName, ...] = Field(
        default=(), description='Models that the placement may load on it.'
    )
    room: int = Field(
        default=1,
        ge=1,
        le=100,
        description='Number of models that fit into its memory.',
    )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class PlacementGoal:
    """Set the number of engines on which a model should be loaded."""

    min_servers: int = Field(
        default=1, ge=0, le=10_000, description='Fewest engines.'
    )
    max_servers: int = Field(
        default=1_000, ge=1, le=10_000, description='Most engines.'
    )
    tokens_per_server: int = Field(
        default=20_000,
        ge=1,
        description='Tokens of waiting requests for which the model is loaded '
        'on one more engine.',
    )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Servers:
    """Hold the model engines and placement goals."""

    engines: dict[Name, EngineEntry] = Field(
        default_factory=dict, description='Model engines by name.'
    )
    goals: dict[ModelName, PlacementGoal] = Field(
        default_factory=dict, description='Placement goals by model.'
    )
    changes: Changes = ()


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Service:
    """Describe one plain service, its backend servers and its price."""

    urls: dict[Name, HttpUrl] = Field(
        min_length=1, description='URLs of its backend servers by name.'
    )
    tokens_per_call: int = Field(
        default=1, ge=0, le=1_000_000, description='Price of a call in tokens.'
    )
    non_idempotent_methods: tuple[Method, ...] = Field(
        default=('POST',), description='Methods that must not be repeated.'
    )
    timeout_s: float = Field(
        default=30, gt=0, le=3_600, description='Time limit of a call.'
    )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Services:
    """Hold all plain services."""

    services: dict[Name, Service] = Field(
        default_factory=dict, description='Plain services by name.'
    )
    changes: Changes = ()


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class QueueLengths:
    """Bound the queue of each priority class, in requests per daemon."""

    urgent: int = Field(
        default=200, ge=1, le=MAX_QUEUE, description='Requests of class urgent.'
    )
    normal: int = Field(
        default=500, ge=1, le=MAX_QUEUE, description='Requests of class normal.'
    )
    batch: int = Field(
        default=1_000,
        ge=1,
        le=MAX_QUEUE,
        description='Requests of class batch.',
    )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Limits:
    """Hold the limits that all daemons share."""

    max_body_bytes: int = Field(
        default=1_000_000,
        ge=1_024,
        le=100_000_000,
        description='Largest request body.',
    )
    max_request_s: float = Field(
        default=600, ge=1, le=86_400, description='Longest time of a request.'
    )
    default_max_tokens: int = Field(
        default=256,
        ge=1,
        le=1_000_000,
        description='Output limit in tokens of a request that sets none.',
    )
    queue_lengths: QueueLengths = Field(
        default_factory=QueueLengths,
        description='Longest queue of each priority class, per daemon.',
    )
    retry_share: float = Field(
        default=0.1,
        ge=0,
        le=MAX_SHARE,
        description='Most retries as a share of requests.',
    )
    hedge_share: float = Field(
        default=0.02,
        ge=0,
        le=MAX_SHARE,
        description='Most hedged requests as a share of requests.',
    )
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

    token_hash: KeyHash = Field(
        description='SHA-256 hash of the token in hexadecimal.'
    )
    role: Role = Field(description='What the operator may do.')
    subtrees: tuple[str, ...] = Field(
        default=(),
        description='Keys that the operator may change, with all keys below '
        'them, such as `config/teams` or `budgets`. Role `admin` needs none.',
    )
    expires_unix_s: int | None = Field(
        default=None, gt=0, description='Unix time from which it is refused.'
    )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class Operators:
    """Hold the operators by name; if there are none, everyone is admin."""

    operators: dict[Name, OperatorEntry] = Field(
        default_factory=dict, description='Operators by name.'
    )
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
