"""Load shedding by a fleet of gates, in simulated time.

Checked is what callers get. The servers have 120 slots; long prompts of low
priority come at 2.4 times what all slots can serve.
"""

import functools
import itertools
import statistics
import time

import pytest

from .simulatedfleet import Kind, SimulatedFleet

CHAT = Kind('chat', 0, ((0, 50),), 0.08, 0.8, 0.45, 10, 826)
LONG = Kind('long', 2, ((0, 66),), 0.15, 0.6, 1.235, 5, 9190)
LONG_PEAK = ((0, 66), (3, 480), (12, 66))
CHAT_PEAK = ((0, 50), (14, 120), (20, 50))
# Shares of all requests, or of the kind, below which one is starved.
STARVED = 0.25
STARVED_SIZE = 0.5


def kind(base, rates, **changes):
    return Kind(**{**vars(base), 'rates': rates, **changes})


@functools.cache
def peaks(seed, is_gated=True):
    """Return a fleet after a peak of long prompts and then one of chats."""
    kinds = (kind(CHAT, CHAT_PEAK), kind(LONG, LONG_PEAK))
    return SimulatedFleet(kinds, seed=seed, is_gated=is_gated).run(24)


def served(total):
    return (total.on_time + total.late) / total.offered


def all_served(fleet):
    totals = [fleet.totals[one.name] for one in fleet.kinds]
    offered = sum(total.offered for total in totals)
    return sum(one.on_time + one.late for one in totals) / offered


@pytest.mark.parametrize('seed', [1, 2, 3])
class TestPeaks:
    def test_urgent_requests_are_on_time_and_hardly_refused(self, seed):
        """Guards against urgent work that finds no slot beside low work."""
        chat = peaks(seed).totals['chat']
        assert chat.on_time > 0.97 * chat.offered
        assert chat.refused < 0.02 * chat.offered
        without = peaks(seed, is_gated=False).totals['chat']
        assert without.on_time < 0.85 * without.offered

    def test_low_requests_wait_within_their_slack_or_are_refused(self, seed):
        """Guards against low work that is held and then answered late."""
        low = peaks(seed).totals['long']
        assert low.waited > 0.1 * low.offered
        assert low.late < 0.02 * low.offered

    def test_nobody_is_held_in_vain_beyond_an_eighth_of_the_objective(
        self, seed
    ):
        """Guards against refusals that come too late to go elsewhere."""
        for total in peaks(seed).totals.values():
            assert total.longest_lost_hold < 1 / 8

    def test_nothing_is_refused_while_half_of_the_slots_are_free(self, seed):
        """Guards against refusals that free slots make needless."""
        assert peaks(seed).least_busy >= 0.5

    def test_each_kind_and_workspace_stays_above_its_floor(self, seed):
        """Guards against starved kinds and workspaces."""
        fleet = peaks(seed)
        least = STARVED * all_served(fleet)
        for name, total in fleet.totals.items():
            if total.offered > 20:
                assert served(total) > least, name

    def test_the_largest_of_a_kind_stay_above_their_floor(self, seed):
        """Guards against large requests that never fit."""
        totals = peaks(seed).totals
        for name in ('chat', 'long'):
            of_kind = totals[name]
            large = totals[name, 'large']
            assert served(large) > STARVED_SIZE * served(of_kind)
            refused = of_kind.refused / of_kind.offered
            assert large.refused / large.offered < max(0.05, 2 * refused)

    def test_slots_are_used_without_flapping(self, seed):
        """Guards against daemons that admit all and then nothing in turn."""
        fleet = peaks(seed)
        saturated = fleet.busy[60:115]
        assert statistics.mean(saturated) > 0.8
        assert statistics.pstdev(saturated) < 0.15
        assert max(saturated) < 1.3
        means = [statistics.mean(marks) for marks in fleet.steps]
        turns = [b - a for a, b in itertools.pairwise(means) if a != b]
        changes = sum(a * b < 0 for a, b in itertools.pairwise(turns))
        assert changes <= 4

    def test_daemons_decide_alike(self, seed):
        """Guards against daemons whose callers get less than others'."""
        fleet = peaks(seed)
        sent = fleet.admitted_by_daemon.values()
        assert min(sent) > 0.75 * statistics.mean(sent)
        # Marks that differ are the same again within a second.
        apart = [len(marks) > 1 for marks in fleet.steps]
        for start in range(len(apart) - 10):
            assert not all(apart[start : start + 10])


class TestOtherLoads:
    def test_quiet_fleet_holds_nothing_back(self):
        """Guards against a gate that costs callers something without need."""
        fleet = SimulatedFleet((CHAT, LONG)).run(10)
        for one in fleet.kinds:
            total = fleet.totals[one.name]
            assert total.refused == 0
            assert total.waited < 0.01 * total.offered

    def test_flood_of_one_workspace_leaves_the_others_their_share(self):
        """Guards against a workspace that takes the slots of all others."""
        fleet = SimulatedFleet(
            (CHAT, kind(LONG, ((0, 320),))), team_weights=(7.5,) + (1,) * 7
        ).run(15)
        flood = served(fleet.totals['long', 'w0'])
        for team in range(1, 8):
            other = served(fleet.totals['long', f'w{team}'])
            assert other > 2 * flood
        assert flood > STARVED * all_served(fleet)

    def test_kinds_of_one_priority_share_short_slots(self):
        """Guards against a kind with little slack that gets no slot."""
        fleet = SimulatedFleet(
            (
                kind(CHAT, ((0, 40), (2, 100))),
                kind(LONG, ((0, 50), (2, 200)), priority=0),
            )
        ).run(15)
        for one in fleet.kinds:
            assert served(fleet.totals[one.name]) > 0.5 * all_served(fleet)
        assert statistics.mean(fleet.busy[40:]) > 0.9

    @pytest.mark.parametrize(('per_s', 'least'), [(135, 0.95), (300, 0.45)])
    def test_plain_calls_are_decided_at_once(self, per_s, least):
        """Guards against refusals by loads that are older than the calls.

        At 300 calls a second 18 slots serve two thirds at most.
        """
        calls = Kind('call', 2, ((0, per_s),), 0.09, 0.09, 0.415, 1.55, 0, 0)
        fleet = SimulatedFleet((calls,), daemons=68, servers=3, slots=6)
        total = fleet.run(8).totals['call']
        assert total.on_time > least * total.offered
        assert total.longest_lost_hold < 1 / 8


class TestFailures:
    @pytest.mark.parametrize('loads_until', [0, 6])
    def test_without_loads_neither_all_nor_none_are_admitted(self, loads_until):
        """Guards against a gate that is open or shut without the aggregator."""
        kinds = (CHAT, kind(LONG, ((0, 66), (3, 480))))
        fleet = SimulatedFleet(kinds, loads_until=loads_until).run(15)
        for one in kinds:
            total = fleet.totals[one.name]
            assert 0.1 * total.offered < total.sent < 0.95 * total.offered
        without = SimulatedFleet(kinds, is_gated=False).run(15)
        chats, before = fleet.totals['chat'], without.totals['chat']
        assert chats.on_time / chats.offered > before.on_time / before.offered

    def test_loads_that_contradict_prompt_answers_are_not_believed(self):
        """Guards against phantom requests in the loads that refuse all work."""
        kinds = (CHAT, kind(LONG, ((0, 30),)))
        fleet = SimulatedFleet(kinds, phantom_share=1.2, seed=2).run(40)
        for one in kinds:
            total = fleet.totals[one.name]
            assert served(total) > 0.7

    def test_wall_clock_jumps_change_nothing(self, monkeypatch):
        """Guards against decisions by a clock that is set."""
        monkeypatch.setattr(time, 'time', lambda: -1e9)
        monkeypatch.setattr(time, 'monotonic', lambda: 1e9)
        expected = peaks(1)
        kinds = (kind(CHAT, CHAT_PEAK), kind(LONG, LONG_PEAK))
        fleet = SimulatedFleet(kinds, seed=1).run(24)
        assert fleet.totals == expected.totals
