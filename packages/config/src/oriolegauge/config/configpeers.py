"""What the configuration needs of the links between daemons."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from oriolegauge.objectstore import StoredObject


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """Hold what a peer's last heartbeat says of its configuration.

    `heard_at` is the loop time of the heartbeat in seconds; `store_age_s` is
    the peer's `ConfigFollower.store_age_s` when it was sent, None for never.
    """

    name: str
    zone: str
    versions: Mapping[str, int]
    received_at: float
    store_age_s: float | None
    watching: bool


class ConfigPeers(Protocol):
    """Know the peers' versions and fetch objects from them."""

    def last_heartbeats(self) -> Collection[PeerConfig]:
        """Return the last heartbeat of each peer that was ever heard."""

    async def fetch(self, peer: str, key: str) -> StoredObject | None:
        """Return the peer's object in force, or None if it has none.

        Raise OriolegaugeError when the peer does not answer.
        """
