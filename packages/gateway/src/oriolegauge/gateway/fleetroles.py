"""Daemons with a role for the fleet, as this daemon chooses them.

All daemons that know the same members and states choose the same ones. Matters
when peers freeze, restart or lose the store.
"""

from collections.abc import Callable, Collection, Iterator
from itertools import islice

from oriolegauge.gateway.fleetlayout import (
    MAX_LEADERS,
    has_zone_aggregators,
    watch_sign_age_s,
)
from oriolegauge.gateway.fleetmembers import FleetMembers
from oriolegauge.gateway.peerstates import (
    LINK_OPENING_S,
    SERVING_STATES,
    PeerStates,
)
from oriolegauge.gateway.watchsigns import WatchSigns
from oriolegauge.wire.messages import WatchSign

# Number of leaders that remember streams which the history of versions does not
# tell: a stream is lost to its caller only if all of them end.
MAX_STREAM_KEEPERS = 3


class FleetRoles:
    """Choose leaders, and among them those with further roles."""

    def __init__(
        self,
        *,
        members: FleetMembers,
        peers: PeerStates,
        watch_signs: WatchSigns,
        state: Callable[[], str],
        reaches_store: Callable[[], bool],
    ) -> None:
        """Take the callbacks that describe this daemon.

        `state` returns its lifecycle state, `reaches_store` whether it reaches
        the store.
        """
        self._members = members
        self._name = members.own.name
        self._peers = peers
        self._watch_signs = watch_signs
        self._state = state
        self._reaches_store = reaches_store

    @property
    def is_serving(self) -> bool:
        """State whether this daemon has not announced its shutdown."""
        return self._state() in SERVING_STATES

    def is_leader(self) -> bool:
        """State whether this daemon is one of the leaders."""
        return self._members.are_known and self._name in islice(
            self._leaders(), MAX_LEADERS
        )

    def is_watcher(self) -> bool:
        """State whether this daemon watches the store.

        The first leaders that reach the store watch it for all daemons. A
        daemon that hears no peer watches for itself. Its own failures do not
        end its watch: calls of one kind fail without those of others, and if
        all daemons gave up at once, nobody would notice the next change.
        """
        if not self._members.are_known:
            return False
        if not self._peers.heard():
            return True
        watchers = islice(filter(self._may_watch, self._leaders()), MAX_LEADERS)
        return self._name in watchers

    def reserve_hosts(self) -> list[str]:
        """Return the leaders, which hold reserves of tokens, by rank."""
        # Includes those that can't reach the store: if no daemon can, their
        # reserves are the only tokens left.
        return list(islice(self._leaders(), MAX_LEADERS))

    def allocator(self) -> str:
        """Return the first leader that may reach the store.

        If no daemon is known to reach it, return the first leader, which stays
        the same in an outage: the tokens that it holds are the only ones left.
        """
        leaders = self.reserve_hosts()
        first = leaders[0] if leaders else self._name
        if not (self._reaches_store() or self._peers.reaching_store()):
            return first
        return next(filter(self._may_reach_store, leaders), first)

    def limiter(self) -> str:
        """Return the daemon that hands out permits."""
        return next(filter(self._may_limit, self._leaders()), self._name)

    def stream_keepers(self) -> list[str]:
        """Return the other daemons that remember streams for the fleet."""
        first = islice(self._leaders(), MAX_STREAM_KEEPERS)
        return [name for name in first if name != self._name]

    def aggregator(self) -> str | None:
        """Return the daemon with the load aggregator, if there is one."""
        return self._aggregator_of(self._members.own.zone)

    def other_aggregators(self) -> Collection[str]:
        """Return the daemons with the aggregators of the other zones."""
        if not has_zone_aggregators(self._members.size):
            return set()
        zones = self._members.zones - {self._members.own.zone}
        return {self._aggregator_of(zone) for zone in zones} - {None}

    def signs_to_send(self, *, watches: bool) -> tuple[WatchSign, ...]:
        """Return the signs of daemons that watch, for the next heartbeat."""
        if watches:
            self._watch_signs.note(self._name)
        names = (
            self._members.by_rank if self._members.is_large else [self._name]
        )
        signs = self._watch_signs.fresh(
            names, watch_sign_age_s(self._members.size)
        )
        return tuple(islice(signs, MAX_LEADERS))

    def _leaders(self) -> Iterator[str]:
        """Yield the serving daemons in the order of rank, equal on all."""
        return filter(self._may_serve, self._members.by_rank)

    def _aggregator_of(self, zone: str) -> str | None:
        leaders = self._leaders()
        if has_zone_aggregators(self._members.size):
            leaders = filter(self._members.names_in(zone).__contains__, leaders)
        return next(leaders, None)

    def _may_serve(self, name: str) -> bool:
        if name == self._name:
            return self.is_serving
        return self._peers.is_serving(name)

    def _may_reach_store(self, name: str) -> bool:
        if name == self._name:
            return self._reaches_store()
        return self._peers.may_reach_store(name)

    def _may_limit(self, name: str) -> bool:
        return name == self._name or self._peers.may_limit(name)

    def _may_watch(self, name: str) -> bool:
        if name == self._name:
            return True
        return self._peers.may_reach_store(name) and self._shows_watch(name)

    def _shows_watch(self, name: str) -> bool:
        """State whether the daemon was lately known to watch the store.

        A daemon that has just become known counts until its sign can be here.
        """
        return self._members.known_s(
            name
        ) < LINK_OPENING_S or self._watch_signs.is_fresh(
            name, watch_sign_age_s(self._members.size)
        )
