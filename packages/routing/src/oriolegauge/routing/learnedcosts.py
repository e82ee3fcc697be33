"""Costs of placing a request on each server, from loads and learned speeds."""

import itertools
import math
from collections.abc import Mapping, Sequence

from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.promptshares import PromptShares, is_reading
from oriolegauge.routing.room import Room
from oriolegauge.routing.serverspeeds import ServerSpeeds
from oriolegauge.routing.serverstate import ServerState
from oriolegauge.routing.work import Work

# Share of the longest pause of a route that reading may take, since engines
# are up to twice as slow at times and a pause has other causes too.
HARMLESS_PAUSE_SHARE = 0.6
# Share of the reading time of a prompt that delays each running stream.
DISTURBANCE_SHARE = 0.05
# Cost of an engine's time that is missing to later prompts, as a share of the
# mean number of prompts that wait at an engine, and the largest such number.
LATER_SHARE = 3.0
MAX_LATER = 4.0
# Cost of the mean number of requests, as a share of the objective. It grows
# with the square of a server's requests, so that requests spread before slots
# are taken, but stay with their shared parts at small differences.
BALANCE_SHARE = 0.05
# A server with all slots taken preempts a request or lets it wait, and one
# whose memory overflows preempts one too: as harmful as a missed objective.
FULL_SHARE = 1.0
# Added for a server outside the preferred share: for long prompts as a share of
# their objective, for short ones of the longest pause of their stream.
SPILL_LONG_SHARE = 0.5
SPILL_SHORT_SHARE = 1.0
# Objective that is assumed for a route without one.
DEFAULT_OBJECTIVE_S = 0.5


class LearnedCosts:
    """Weigh servers by the expected time and by the harm to other streams."""

    def __init__(self, speeds: ServerSpeeds) -> None:
        """Use the learned speeds."""
        self._speeds = speeds
        self._shares = PromptShares()
        # Tokens that an engine of the service can hold.
        self.memory_tokens: Mapping[str, int] = {}

    def expected_s(
        self, candidate: Candidate, state: ServerState, work: Work
    ) -> float:
        """Return the expected time to the first answer."""
        speeds = self._speeds
        service = candidate.service
        slowness = state.slowness
        if not work.is_prompt:
            turns = 1 + state.running // max(1, candidate.slots)
            return speeds.call_s(service) * slowness * turns
        tokens = state.unread_tokens + state.pending_tokens
        expected_s = speeds.start_s(service) + tokens * speeds.token_s(service)
        waiting = state.running + 1 - candidate.slots
        if waiting > 0:
            # The slots end their requests in turn.
            expected_s += speeds.slot_s(service) * waiting / candidate.slots
        return slowness * expected_s

    def started(self, service: str, work: Work) -> None:
        """Count a request of this daemon."""
        self._shares.started(service, work)

    def ended(self, service: str, work: Work) -> None:
        """Count the end of a request."""
        self._shares.ended(service, work)

    def room(
        self,
        candidates: Sequence[Candidate],
        states: Sequence[ServerState],
        work: Work,
    ) -> Room:
        """Return the room that the servers have for the request."""
        token_s = self._speeds.token_s(candidates[0].service)
        reading_s = sum(
            [one.pending_tokens * one.slowness * token_s for one in states]
        )
        slots = sum([candidate.slots for candidate in candidates])
        waits_s = map(
            self.expected_s, candidates, states, itertools.repeat(work)
        )
        return Room(
            wait_s=min(waits_s),
            busy_share=sum([one.running for one in states]) / max(1, slots),
            reading_s=reading_s / len(states),
        )

    def costs(
        self,
        candidates: Sequence[Candidate],
        states: Sequence[ServerState],
        work: Work,
        now: float,
    ) -> list[float]:
        """Return the cost of each server in seconds."""
        if work.is_prompt:
            reading = sum([is_reading(one.pending_tokens) for one in states])
            self._shares.follow(
                candidates,
                reading=reading,
                running=sum([one.running for one in states]),
                now=now,
            )
            costs = self._reading_costs(
                candidates[0].service, states, work, reading
            )
            preferred, spill_s = self._preferred(candidates, work)
        else:
            costs = self._call_costs(candidates, states)
            preferred, spill_s = None, 0
        self._add_harm(candidates, states, work, costs, preferred)
        if preferred is not None:
            for index, candidate in enumerate(candidates):
                if candidate.name not in preferred:
                    costs[index] += spill_s
        return costs

    def _add_harm(
        self,
        candidates: Sequence[Candidate],
        states: Sequence[ServerState],
        work: Work,
        costs: list[float],
        preferred: frozenset[str] | None,
    ) -> None:
        """Add the costs of uneven loads, taken slots and taken memory."""
        full_s = FULL_SHARE * (work.objective_s or DEFAULT_OBJECTIVE_S)
        balance_s = BALANCE_SHARE / FULL_SHARE * full_s
        balance_s /= _mean_running(candidates, states, preferred) ** 2
        memory = self.memory_tokens.get(candidates[0].service, 0)
        most_held = memory - work.tokens if memory else math.inf
        for index, state in enumerate(states):
            running = state.running
            cost = state.extra_s + balance_s * running * running
            slots = candidates[index].slots
            if running >= slots:
                cost += full_s * (2 + (running - slots) / slots)
            if state.held_tokens > most_held:
                cost += full_s
            costs[index] += cost

    def _call_costs(
        self, candidates: Sequence[Candidate], states: Sequence[ServerState]
    ) -> list[float]:
        call_s = self._speeds.call_s(candidates[0].service)
        return [
            state.slowness * call_s * (1 + state.running / candidate.slots)
            for candidate, state in zip(candidates, states, strict=True)
        ]

    def _preferred(
        self, candidates: Sequence[Candidate], work: Work
    ) -> tuple[frozenset[str] | None, float]:
        """Return the preferred servers and the cost of any other."""
        service = candidates[0].service
        strength = self._shares.strength(service, self._speeds.token_s(service))
        if not strength:
            return None, 0
        names = self._shares.preferred(candidates, work)
        if not names:
            return None, 0
        spill_s = (
            SPILL_LONG_SHARE * (work.objective_s or DEFAULT_OBJECTIVE_S)
            if work.is_long
            else SPILL_SHORT_SHARE * work.longest_pause_s
        )
        return names, strength * spill_s

    def _reading_costs(
        self,
        service: str,
        states: Sequence[ServerState],
        work: Work,
        reading: int,
    ) -> list[float]:
        """Return the time of reading and its harm to other requests.

        `reading` servers read long prompts now.
        """
        token_s = self._speeds.token_s(service)
        # Reading takes time from the prompts that come later.
        later = LATER_SHARE * min(
            MAX_LATER, reading / (len(states) + 1 - reading)
        )
        limit_s = work.longest_pause_s * HARMLESS_PAUSE_SHARE
        costs = []
        for state in states:
            server_token_s = token_s * state.slowness
            own_s = state.unread_tokens * server_token_s
            reading_s = own_s + state.pending_tokens * server_token_s
            cost = reading_s + own_s * (
                later + DISTURBANCE_SHARE * state.running
            )
            if limit_s and reading_s > limit_s:
                excess_s = reading_s - limit_s
                if work.is_long:
                    # Streams there wait for the prompts before it anyway.
                    excess_s = min(own_s, excess_s) * (1 + state.running)
                cost += excess_s
            costs.append(cost)
        return costs


def _mean_running(
    candidates: Sequence[Candidate],
    states: Sequence[ServerState],
    preferred: frozenset[str] | None,
) -> float:
    counted = [
        state.running
        for candidate, state in zip(candidates, states, strict=True)
        if preferred is None or candidate.name in preferred
    ]
    # A fleet without load is balanced by chance.
    return sum(counted) / len(counted) + 1
