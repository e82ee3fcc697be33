"""Placement by learned speeds, played on simulated engines."""

import pytest

from .enginefleet import A_QUIET, B_QUIET, C_QUIET, Fleet


class TestQuietLoad:
    @pytest.mark.parametrize('load', [A_QUIET, B_QUIET, C_QUIET], ids='ABC')
    def test_chats_are_on_time_and_engines_evenly_used(self, load):
        """Guards against a fixed division that crowds chats on few engines."""
        fleet = Fleet(load, adapts_to_load=True).play(6)
        figures = fleet.figures()
        assert figures['chats_paused'] < 0.01
        assert figures['chats_late'] < 0.01
        assert figures['longs_late'] < 0.01
        assert figures['preempted'] == 0
        assert figures['busiest_slots'] < 1.3

    def test_fixed_division_crowds_chats(self):
        """Guards against a simulation that shows no fault of placement."""
        figures = Fleet(B_QUIET).play(6).figures()
        assert figures['chats_paused'] > 0.03
        assert figures['preempted'] > 100
        assert figures['busiest_slots'] > 2
