"""Interface through which the configuration is fetched from peers."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from oriolegauge.objectstore import StoredObject


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """Describe the configuration of a peer as of its last heartbeat.

    `received_at` is the loop time in seconds at which the heartbeat arrived;
    `store_age_s` is the peer's `ConfigFollower.store_age_s` when it was sent,
    None if the peer has never read the store.
    """

    name: str
    zone: str
    versions: Mapping[str, int]
    received_at: float
    store_age_s: float | None
    watching: bool


class ConfigPeers(Protocol):
    """Return the heartbeats of peers and fetch objects from them."""

    def last_heartbeats(self) -> Collection[PeerConfig]:
        """Return the last heartbeat of each peer that ever sent one."""

    async def fetch(self, peer: str, key: str) -> StoredObject | None:
        """Return the peer's object in force, or None if it has none.

        Raise OriolegaugeError if the peer does not answer.
        """
