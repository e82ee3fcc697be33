"""Fetches of configuration objects from peers.

Daemons that don't watch the store, or can't reach it, get changes this way.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from oriolegauge.config.configpeers import ConfigPeers, PeerConfig
from oriolegauge.config.configreceiver import ConfigReceiver
from oriolegauge.core import OriolegaugeError, rank

MAX_PARALLEL = 8
# A peer that does not answer delays each object by the timeout of a fetch, so
# it is skipped for as long after a failure.
FAILED_PEER_BACKOFF_S = 1.0

log = structlog.get_logger()


class PeerFetch:
    """Fetch each object of which a reachable peer has a higher version."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        receiver: ConfigReceiver,
        peers: ConfigPeers,
        clock: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """Pass fetched objects to `receiver`; time out after `timeout_s`."""
        self._name = name
        self._zone = zone
        self._receiver = receiver
        self._peers = peers
        self._clock = clock
        self._timeout_s = timeout_s
        self._failed_at: dict[str, float] = {}
        self.fetched = 0

    async def fetch_missing(
        self, reachable_peers: Sequence[PeerConfig]
    ) -> None:
        """Fetch all missing versions, except from peers that just failed."""
        wanted = self._wanted(reachable_peers)
        slots = asyncio.Semaphore(MAX_PARALLEL)
        async with asyncio.TaskGroup() as group:
            for key, holders in wanted.items():
                group.create_task(self._fetch(slots, key, holders))

    def _wanted(
        self, reachable_peers: Sequence[PeerConfig]
    ) -> dict[str, list[PeerConfig]]:
        wanted: dict[str, list[PeerConfig]] = {}
        for peer in reachable_peers:
            for key, version in peer.versions.items():
                if version > self._receiver.version(key):
                    wanted.setdefault(key, []).append(peer)
        return wanted

    async def _fetch(
        self,
        slots: asyncio.Semaphore,
        key: str,
        holders: list[PeerConfig],
    ) -> None:
        async with slots:
            for peer in self._ordered(key, holders):
                wanted = peer.versions[key] > self._receiver.version(key)
                if wanted and not self._failed_recently(peer.name):
                    await self._fetch_from(peer.name, key)

    def _failed_recently(self, peer: str) -> bool:
        failed_at = self._failed_at.get(peer)
        return (
            failed_at is not None
            and self._clock() - failed_at < FAILED_PEER_BACKOFF_S
        )

    def _ordered(self, key: str, holders: list[PeerConfig]) -> list[PeerConfig]:
        """Sort by version, then own zone; a hash orders the other ties.

        The hash spreads the fetches of different daemons over the peers.
        """
        spread = rank(f'{self._name}|{key}', [peer.name for peer in holders])
        return sorted(
            holders,
            key=lambda peer: (
                -peer.versions[key],
                peer.zone != self._zone,
                spread.index(peer.name),
            ),
        )

    async def _fetch_from(self, peer: str, key: str) -> None:
        try:
            async with asyncio.timeout(self._timeout_s):
                stored = await self._peers.fetch(peer, key)
        except (OriolegaugeError, TimeoutError) as error:
            self._failed_at[peer] = self._clock()
            log.info(
                'configuration fetch failed',
                peer=peer,
                key=key,
                error=repr(error),
            )
            return
        if stored is not None and stored.key == key:
            self.fetched += 1
            self._receiver.accept(stored)
