"""Choice of a backend server by the expected time to its first answer.

Prompts with shared parts go to a server that has read these parts, unless the
backlog there costs more than reading them again elsewhere; daemons without a
common index send a part to the same home server by rendezvous hashing. Reading
a long prompt delays the tokens of all streams on its engine, so a share of the
servers is preferred for long prompts and the rest for short ones.
"""

import math
import random
from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from operator import attrgetter, itemgetter

from oriolegauge.core.rendezvous import first
from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.connectfailure import ConnectFailure
from oriolegauge.routing.learnedcosts import LearnedCosts
from oriolegauge.routing.partindex import PartHeld, PartIndex
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.room import Room
from oriolegauge.routing.serverspeeds import ServerSpeeds
from oriolegauge.routing.serverstate import ServerState
from oriolegauge.routing.slowstart import SlowStart
from oriolegauge.routing.work import Work

# Prompt tokens that an engine reads per second: the slower of the two engines
# in use, which read 42.8 and 69.8 tokens a millisecond.
PREFILL_TOKENS_PER_S = 42_800.0
# Delay that one more running stream adds to each token of all others.
RUNNING_STREAM_COST_S = 0.0005
# Time of a call without a prompt on a free slot; weighed against the costs of
# another zone.
PLAIN_CALL_S = 0.02
# Added for a server in another availability zone: 1.5 ms each way, and the
# bytes between zones, which cost more than a short wait. The mean long prompt
# has 9 KB, so it goes to another zone only if that saves a sixth of its
# objective of 600 ms.
OTHER_ZONE_COST_S = 0.004
OTHER_ZONE_COST_S_PER_BYTE = 10e-6
# Added for a server that fails all requests, and in proportion for one that
# fails some: longer than any backlog that still meets an objective.
FAILURE_COST_S = 2.0
FAILURE_WEIGHT = 0.25
# Failures lose half of their weight in this time, so that servers get requests
# again without a probe.
FAILURE_HALF_LIFE_S = 2.0
# An unreachable server is left out for this time, doubled for each further
# failure in a row up to the maximum.
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
# A loaded server accepts connections again as soon as one of its requests has
# ended.
RESET_BACKOFF_S = 0.1
# Weight of a new sample in the average of a server's slowness, the ratio of
# measured to expected time.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 1.5
MAX_SLOWNESS = 20.0
# Share of the servers that is preferred for long prompts, which have nine
# tenths of the tokens to read. Short streams need slots only.
LONG_PROMPT_SHARE = 0.8
# Share of the reading time of a prompt that delays each running stream of the
# server.
DISTURBANCE_SHARE = 0.15
# A longer reading may delay a stream beyond the 250 ms that callers accept. It
# is less than half of them, since engines are up to 2.5 times slower at times.
HARMLESS_READING_S = 0.1
# Added for a server outside the preferred share: for long prompts a third of
# their objective, for short ones the longest pause that a chat may make.
SPILL_LONG_COST_S = 0.3
SPILL_SHORT_COST_S = 0.25
# Parts kept for the next report to the other daemons.
MAX_UNREPORTED_PARTS = 2_000
# Random share of the cost, so that daemons with equal data choose differently.
JITTER = 0.05
# Servers whose cost exceeds the least one by this share and time are chosen as
# often: daemons that place at the same time don't know of one another.
SPREAD_SHARE = 0.05
SPREAD_S = 0.004
# The most for calls without a prompt: less than the cost of another zone.
MAX_CALL_SPREAD_S = 0.003
_NO_LOAD = PeerLoad()


@dataclass(slots=True)
class _Record:
    running: int = 0
    pending_tokens: int = 0
    held_tokens: int = 0
    service: str = ''
    failure_share: float = 0
    failed_at: float = 0
    slowness: float = 1
    slow_at: float = 0
    unreachable_until: float = -math.inf
    backoff_s: float = INITIAL_BACKOFF_S
    unreached_at: float = -math.inf


class ServerChooser:
    """Track loads, failures and prompt parts of servers; choose one."""

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random,
        adapts_to_load: bool = False,
    ) -> None:
        """Prefer servers of availability zone `zone`, all else equal.

        With `adapts_to_load` servers are weighed by learned speeds.
        """
        self._zone = zone
        self._rng = rng
        self._adapts_to_load = adapts_to_load
        self._speeds = ServerSpeeds()
        self._learned_costs = LearnedCosts(self._speeds)
        self._slow_start = SlowStart(rng)
        self._records: dict[str, _Record] = {}
        self._peers: Mapping[str, PeerLoad] = {}
        self._unreported_parts: deque[PartHeld] = deque(
            maxlen=MAX_UNREPORTED_PARTS
        )
        self.parts = PartIndex()

    def choose(
        self,
        candidates: Sequence[Candidate],
        work: Work,
        now: float,
        *,
        is_index_current: bool = False,
    ) -> str | None:
        """Return the server with the least expected time, if there is any.

        `is_index_current` states that `parts` has the reports of all daemons;
        otherwise the home server of the parts is assumed to hold them.
        """
        reachable = [
            candidate
            for candidate in candidates
            if self._record(candidate.name).unreachable_until <= now
        ] or list(candidates)
        if not reachable:
            return None
        if self._adapts_to_load:
            return self._choose_learned(
                self._slow_start.ready(reachable, now),
                work,
                now,
                is_index_current=is_index_current,
            )
        preferred = _preferred(reachable, work)
        home = None if is_index_current else self._home_server(preferred, work)
        costs = {
            candidate.name: self._cost(candidate, work, home, now)
            * (1 + JITTER * self._rng.random())
            for candidate in reachable
        }
        for candidate in reachable:
            if candidate not in preferred:
                costs[candidate.name] += (
                    SPILL_LONG_COST_S if work.is_long else SPILL_SHORT_COST_S
                )
        return min(costs, key=costs.__getitem__)

    def _choose_learned(
        self,
        reachable: Sequence[Candidate],
        work: Work,
        now: float,
        *,
        is_index_current: bool,
    ) -> str:
        home = None if is_index_current else self._home_server(reachable, work)
        states = self._states(reachable, work, home, now)
        costs = self._learned_costs.costs(reachable, states, work, now)
        least = min(costs)
        spread = SPREAD_SHARE * least + SPREAD_S
        limit = least + (
            spread if work.is_prompt else min(MAX_CALL_SPREAD_S, spread)
        )
        return self._rng.choice(
            [
                candidate.name
                for candidate, cost in zip(reachable, costs, strict=True)
                if cost <= limit
            ]
        )

    def _states(
        self,
        candidates: Sequence[Candidate],
        work: Work,
        home: str | None,
        now: float,
    ) -> list[ServerState]:
        unread = self._unread_by_server(work, home)
        prompt_tokens = work.prompt_tokens
        other_zone_s = (
            OTHER_ZONE_COST_S + work.body_bytes * OTHER_ZONE_COST_S_PER_BYTE
        )
        slowness = self._speeds.slowness
        peers = self._peers
        states = []
        for candidate in candidates:
            name = candidate.name
            record = self._record(name)
            record.service = candidate.service
            peer = peers.get(name, _NO_LOAD)
            extra_s = 0 if candidate.zone == self._zone else other_zone_s
            if record.failure_share:
                extra_s += FAILURE_COST_S * self._failure_share(record, now)
            states.append(
                ServerState(
                    record.running + peer.requests,
                    record.pending_tokens + peer.prompt_tokens,
                    record.held_tokens + peer.held_tokens,
                    unread.get(name, prompt_tokens),
                    slowness(name, now, peer.slowness_sum, peer.samples),
                    extra_s,
                )
            )
        return states

    def _unread_by_server(self, work: Work, home: str | None) -> dict[str, int]:
        """Return the tokens left to read at servers that hold parts."""
        unread: dict[str, int] = {}
        left = work.prompt_tokens
        holders = None
        for part in work.shared_parts:
            left -= part.tokens
            found = self.parts.holders(part.name)
            # An engine can use a part only together with all parts before it.
            holders = found if holders is None else holders & found
            unread |= dict.fromkeys(holders, max(0, left))
        if home is not None:
            unread[home] = self._unshared_tokens(work)
        return unread

    def expected_s(
        self, candidate: Candidate, work: Work, now: float
    ) -> float | None:
        """Return the expected time to the server's first answer, if learned."""
        if not self._adapts_to_load:
            return None
        states = self._states([candidate], work, None, now)
        return self._learned_costs.expected_s(candidate, states[0], work)

    def room(
        self, candidates: Sequence[Candidate], work: Work, now: float
    ) -> Room:
        """Return the room that the servers have for the request.

        Without `adapts_to_load` the speeds are start values.
        """
        if not candidates:
            return Room(wait_s=math.inf, busy_share=0, reading_s=0)
        states = self._states(candidates, work, None, now)
        return self._learned_costs.room(candidates, states, work)

    def load(self, name: str) -> int:
        """Return the requests of all daemons known to run on the server."""
        return self._record(name).running + self._peer(name).requests

    def own_loads(self, now: float | None = None) -> dict[str, PeerLoad]:
        """Return the load of this daemon by server, for its peers.

        With a time, and if this daemon places by them, held tokens and speeds
        are told too.
        """
        if now is None or not self._adapts_to_load:
            return {
                name: PeerLoad(record.running, record.pending_tokens)
                for name, record in self._records.items()
                if record.running
            }
        return {
            name: PeerLoad(
                record.running,
                record.pending_tokens,
                record.held_tokens,
                *self._speeds.samples(name, now),
            )
            for name, record in self._records.items()
            if record.running
        }

    def note_peers(self, loads: Mapping[str, PeerLoad]) -> None:
        """Replace the loads of the other daemons, by server."""
        self._peers = loads

    def started(self, name: str, work: Work) -> int:
        """Count a request sent; return the prompt tokens still to be read."""
        record = self._record(name)
        unread = self._unread(name, work)
        record.running += 1
        record.pending_tokens += unread
        record.held_tokens += work.tokens
        if self._adapts_to_load:
            self._learned_costs.started(record.service, work)
        for part in work.shared_parts:
            held = PartHeld(part.name, name)
            if self.parts.note(held):
                self._unreported_parts.append(held)
        return unread

    def take_unreported_parts(self) -> tuple[PartHeld, ...]:
        """Return the parts read for this daemon since the last call."""
        read = tuple(self._unreported_parts)
        self._unreported_parts.clear()
        return read

    def waiting_tokens(self, name: str) -> int:
        """Return the prompt tokens that the server has still to read."""
        return (
            self._record(name).pending_tokens + self._peer(name).prompt_tokens
        )

    def answered(
        self,
        name: str,
        unread: int,
        *,
        seconds: float,
        now: float,
        waiting_tokens: int = 0,
    ) -> None:
        """Record the time to the first answer of a request.

        `unread` is the return value of `started`, `waiting_tokens` that of the
        method of this name before it.
        """
        record = self._record(name)
        record.pending_tokens -= unread
        if self._adapts_to_load:
            self._learn(record, name, unread, waiting_tokens, seconds, now)
            return
        expected = PLAIN_CALL_S + unread / PREFILL_TOKENS_PER_S
        ratio = min(MAX_SLOWNESS, seconds / expected)
        known = self._slowness(record, now)
        record.slowness = known + SLOWNESS_WEIGHT * (ratio - known)
        record.slow_at = now

    def _learn(
        self,
        record: _Record,
        name: str,
        unread: int,
        waiting_tokens: int,
        seconds: float,
        now: float,
    ) -> None:
        if unread:
            self._speeds.note_prompt(
                record.service,
                name,
                tokens=unread + waiting_tokens,
                seconds=seconds,
                now=now,
            )
        else:
            self._speeds.note_call(
                record.service, name, seconds=seconds, now=now
            )

    def ended(
        self,
        name: str,
        unread: int,
        *,
        was_answered: bool,
        ok: bool,
        now: float,
        work: Work | None = None,
        seconds: float = 0,
    ) -> None:
        """Record the end of a request; `ok` is false if the server failed.

        Without its `work` the request counts as one of mean size. `seconds` is
        the time since it was sent, 0 if unknown.
        """
        record = self._record(name)
        record.held_tokens -= (
            record.held_tokens // record.running
            if work is None
            else work.tokens
        )
        record.running -= 1
        if self._adapts_to_load and work is not None:
            self._learned_costs.ended(record.service, work)
            if work.is_prompt and was_answered and ok:
                self._speeds.note_slot(record.service, seconds)
        if not was_answered:
            record.pending_tokens -= unread
        known = self._failure_share(record, now)
        record.failure_share = known + FAILURE_WEIGHT * ((not ok) - known)
        record.failed_at = now

    def connected(
        self,
        name: str,
        *,
        ok: bool,
        now: float,
        failure: ConnectFailure = ConnectFailure.REFUSED,
        began_at: float = math.inf,
    ) -> None:
        """Record whether the server accepted a connection.

        An attempt that began before the last failure doubles no back-off. Only
        a server that refuses connections has lost its prompt parts: one that
        resets them is loaded, and the link to a silent one may be cut.
        """
        record = self._record(name)
        if ok:
            record.backoff_s = INITIAL_BACKOFF_S
            record.unreachable_until = -math.inf
            return
        if failure is ConnectFailure.REFUSED:
            self.parts.forget_server(name)
        if failure is ConnectFailure.RESET:
            self.leave_out(name, until=now + RESET_BACKOFF_S)
            return
        if began_at <= record.unreached_at:
            return
        record.unreached_at = now
        record.unreachable_until = now + record.backoff_s
        record.backoff_s = min(MAX_BACKOFF_S, 2 * record.backoff_s)

    def leave_out(self, name: str, *, until: float) -> None:
        """Prefer other servers until then or until a connection opens."""
        record = self._record(name)
        record.unreachable_until = max(record.unreachable_until, until)

    def is_left_out(self, name: str, now: float) -> bool:
        """State whether the server counts as unreachable."""
        return self._record(name).unreachable_until > now

    def note_memory(self, memory_tokens: Mapping[str, int]) -> None:
        """Replace the tokens that an engine can hold, by service."""
        self._learned_costs.memory_tokens = memory_tokens

    def running(self, names: Iterable[str]) -> int:
        """Return the requests of all daemons that run on the servers."""
        records, peers = self._records, self._peers
        return sum(
            (records[name].running if name in records else 0)
            + (peers[name].requests if name in peers else 0)
            for name in names
        )

    def is_reachable(self, name: str) -> bool:
        """State whether no connection has failed since one succeeded."""
        record = self._records.get(name)
        return record is None or math.isinf(record.unreachable_until)

    def restarted(self, name: str) -> None:
        """Drop what is known of a server that was restarted."""
        self._speeds.forget(name)
        self._slow_start.forget(name)
        self.parts.forget_server(name)

    def keep_only(self, names: Collection[str]) -> None:
        """Drop servers that no longer exist and run nothing."""
        for name in list(self._records):
            if name not in names and not self._records[name].running:
                del self._records[name]
                self._speeds.forget(name)
        self._slow_start.keep_only(names)
        self.parts.keep_only(names)

    def _cost(
        self, candidate: Candidate, work: Work, home: str | None, now: float
    ) -> float:
        record = self._record(candidate.name)
        peer = self._peer(candidate.name)
        running = record.running + peer.requests
        slowness = self._slowness(record, now)
        if work.is_prompt:
            unread = self._unread(candidate.name, work)
            if candidate.name == home:
                unread = self._unshared_tokens(work)
            backlog = record.pending_tokens + peer.prompt_tokens
            reading = unread / PREFILL_TOKENS_PER_S
            excess = max(0, reading - HARMLESS_READING_S)
            wait = reading + running * (DISTURBANCE_SHARE * reading + excess)
            wait += backlog / PREFILL_TOKENS_PER_S
            wait += running * RUNNING_STREAM_COST_S
        else:
            wait = PLAIN_CALL_S * (1 + running / candidate.slots)
        if running >= candidate.slots:
            wait *= 2
        cost = wait * max(1.0, slowness)
        cost += FAILURE_COST_S * self._failure_share(record, now)
        if candidate.zone != self._zone:
            cost += OTHER_ZONE_COST_S
            cost += work.body_bytes * OTHER_ZONE_COST_S_PER_BYTE
        return cost

    def _home_server(
        self, reachable: Sequence[Candidate], work: Work
    ) -> str | None:
        if not work.shared_parts:
            return None
        return first(
            work.shared_parts[-1].name,
            [candidate.name for candidate in reachable],
        )

    def _unread(self, name: str, work: Work) -> int:
        unread = work.prompt_tokens
        for part in work.shared_parts:
            # An engine can use a part only together with all parts before it.
            if not self.parts.holds(name, part.name):
                break
            unread -= part.tokens
        return max(0, unread)

    def _unshared_tokens(self, work: Work) -> int:
        shared = sum(part.tokens for part in work.shared_parts)
        return max(0, work.prompt_tokens - shared)

    def _failure_share(self, record: _Record, now: float) -> float:
        age = max(0, now - record.failed_at)
        return record.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def _slowness(self, record: _Record, now: float) -> float:
        age = max(0, now - record.slow_at)
        fade = 0.5 ** (age / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (record.slowness - 1.0) * fade

    def _peer(self, name: str) -> PeerLoad:
        return self._peers.get(name, PeerLoad())

    def _record(self, name: str) -> _Record:
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _Record()
        return record


def _preferred(
    reachable: Sequence[Candidate], work: Work
) -> Sequence[Candidate]:
    """Return the servers preferred for long or for short prompts.

    All daemons with the same list of servers get the same result.
    """
    if not work.is_prompt:
        return reachable
    places: Counter[str] = Counter()
    placed: list[tuple[int, str, Candidate]] = []
    for candidate in sorted(reachable, key=attrgetter('name')):
        placed.append((places[candidate.zone], candidate.zone, candidate))
        places[candidate.zone] += 1
    # The first server of each zone, then the second of each, and so on.
    ordered = [
        candidate for _, _, candidate in sorted(placed, key=itemgetter(0, 1))
    ]
    count = int(len(ordered) * LONG_PROMPT_SHARE)
    part = ordered[:count] if work.is_long else ordered[count:]
    return part or reachable
