"""Settings of one daemon."""

from pydantic import Field
from pydantic.dataclasses import dataclass

from oriolegauge.config.fields import (
    STRICT,
    HttpUrl,
    IpAddress,
    Name,
    PeerAddress,
    Port,
)


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class PeerSettings:
    """Describe another daemon and the address of its peer port."""

    name: Name = Field(description='Name of the other daemon.')
    address: PeerAddress = Field(
        description='IP address and peer port of the other daemon, `IP:PORT`.'
    )
    zone: Name = Field(description='Availability zone of the other daemon.')


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class TlsSettings:
    """Name the files of a server certificate."""

    certificate_path: str = Field(
        min_length=1, description='Certificate chain, PEM.'
    )
    key_path: str = Field(min_length=1, description='Private key, PEM.')


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class PeerTlsSettings:
    """Name the files of mutual TLS between daemons."""

    certificate_path: str = Field(
        min_length=1,
        description='Certificate chain of this daemon, PEM; its subject '
        'alternative names hold the name of the daemon.',
    )
    key_path: str = Field(min_length=1, description='Private key, PEM.')
    ca_path: str = Field(
        min_length=1,
        description='Certificates of the authorities that sign the '
        'certificates of daemons, PEM.',
    )


@dataclass(frozen=True, config=STRICT, kw_only=True, slots=True)
class DaemonSettings:
    """Hold the validated settings of one daemon."""

    name: Name = Field(description='Name of the daemon, unique in the fleet.')
    zone: Name = Field(description='Availability zone of the host.')
    address: IpAddress = Field(
        description='IP address that all three ports are bound to.'
    )
    caller_port: Port = Field(description='Port for callers.')
    admin_port: Port = Field(
        description='Port for the load balancer and operators.'
    )
    peer_port: Port = Field(description='Port for other daemons.')
    store_url: HttpUrl = Field(
        description="URL of the platform's object store, by IP address."
    )
    peers: tuple[PeerSettings, ...] = Field(
        default=(), description='The other daemons.'
    )
    caller_tls: TlsSettings | None = Field(
        default=None, description='TLS of the caller port.'
    )
    caller_tls_ended_by_balancer: bool = Field(
        default=False,
        description='Permit an unencrypted caller port on a non-loopback '
        'address because the load balancer terminates TLS and the network to '
        'the daemon is protected.',
    )
    admin_tls: TlsSettings | None = Field(
        default=None, description='TLS of the admin port.'
    )
    peer_tls: PeerTlsSettings | None = Field(
        default=None, description='Mutual TLS between daemons.'
    )
    budget_shards: int = Field(
        default=1,
        ge=1,
        le=4_096,
        description='Number of budget shard objects, equal in the fleet.',
    )
    intent_shards: int = Field(
        default=4,
        ge=1,
        le=4_096,
        description='Number of intent objects, equal in the fleet.',
    )
    flush_period_s: float = Field(
        default=2,
        gt=0,
        le=60,
        description='Longest time between writes of settlements.',
    )
    store_timeout_s: float = Field(
        default=2, gt=0, le=30, description='Time limit of one store call.'
    )
    peer_timeout_s: float = Field(
        default=1, gt=0, le=30, description='Time limit of one peer call.'
    )
    engine_idle_timeout_s: float = Field(
        default=30,
        gt=0,
        le=600,
        description='Time without data from a model engine after which a '
        'request is retried on another one, if a retry is left.',
    )
    max_request_s: float = Field(
        default=600,
        ge=1,
        le=86_400,
        description='Longest time of one request on this host; '
        '`config/limits` may set a lower one.',
    )
    max_body_bytes: int = Field(
        default=1_000_000,
        ge=1_024,
        le=100_000_000,
        description='Largest request body on this host; `config/limits` may '
        'set a lower one.',
    )
    max_header_bytes: int = Field(
        default=16_384,
        ge=1_024,
        le=1_000_000,
        description='Largest size of one request header.',
    )
    max_peer_message_bytes: int = Field(
        default=8_000_000,
        ge=1_000_000,
        le=100_000_000,
        description='Largest message between daemons; a store object of up '
        'to 1 MB must fit.',
    )
    max_connections: int = Field(
        default=2_000,
        ge=1,
        le=100_000,
        description='Most open connections on the caller port.',
    )
    default_max_tokens: int = Field(
        default=256,
        ge=1,
        le=1_000_000,
        description='Output limit in tokens of a request that sets none, while '
        'there is no `config/limits`.',
    )
    drain_notice_s: float = Field(
        default=3,
        gt=0,
        le=60,
        description='Time for which a draining daemon still accepts requests, '
        'until the load balancer sends it no more.',
    )
