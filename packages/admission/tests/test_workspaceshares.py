"""Shares of workspaces in the admitted work."""

import pytest

from oriolegauge.admission.workspaceshares import (
    FAIR_RATIO,
    TIME_CONSTANT_S,
    WorkspaceShares,
)

WEEKS_S = 3 * 7 * 24 * 3600


class TestWorkspaceShares:
    @pytest.mark.parametrize('now', [0, WEEKS_S, 1e9])
    def test_first_work_is_counted_at_any_clock_time(self, now):
        """Guards against an overflow that failed each request of a daemon.

        The clock of a host that has run for weeks is far from zero.
        """
        shares = WorkspaceShares()
        shares.add(0, 'a', 3.0, now)
        shares.add(0, 'b', 1.0, now)
        assert shares.excess(0, 'a') == pytest.approx(1.5 - FAIR_RATIO)
        shares.add(0, 'a', 1.0, now)
        assert shares.excess(0, 'a') == pytest.approx(1.6 - FAIR_RATIO)

    def test_work_before_a_long_pause_does_not_count(self):
        """Guards against workspaces that wait for their work of yesterday."""
        shares = WorkspaceShares()
        shares.add(0, 'a', 100.0, 0)
        now = 100 * TIME_CONSTANT_S
        shares.add(0, 'b', 1.0, now)
        shares.add(0, 'a', 1.0, now)
        assert shares.excess(0, 'a') == 0
