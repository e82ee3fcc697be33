"""Settings file of one daemon: JSON with comments."""

from pathlib import Path

import json5
from oriolegauge.config.errors import SettingsInvalidError
from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

STRICT = ConfigDict(extra='forbid', strict=False)


@dataclass(frozen=True, config=STRICT, kw_only=True)
class PeerSettings:
    """Address another daemon's peer port."""

    name: str
    address: str
    zone: str


@dataclass(frozen=True, config=STRICT, kw_only=True)
class DaemonSettings:
    """Hold the checked settings of one daemon."""

    name: str
    zone: str
    address: str
    caller_port: int
    admin_port: int
    peer_port: int
    store_url: str
    peers: tuple[PeerSettings, ...] = ()
    budget_shards: int = 1
    intent_shards: int = 4
    flush_period_s: float = 2.0
    max_request_s: float = 600.0
    max_body_bytes: int = 1_000_000
    max_connections: int = 2_000
    default_max_tokens: int = 256
    drain_notice_s: float = 3.0


def load_settings(path: Path) -> DaemonSettings:
    """Read the file; raise SettingsInvalidError with each wrong place."""
    try:
        tree = json5.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsInvalidError(f'{path}: {error}') from error
    try:
        return TypeAdapter(DaemonSettings).validate_python(tree)
    except ValidationError as error:
        places = '; '.join(
            f'{".".join(map(str, row["loc"]))}: {row["msg"]}'
            for row in error.errors()
        )
        raise SettingsInvalidError(f'{path}: {places}') from error
