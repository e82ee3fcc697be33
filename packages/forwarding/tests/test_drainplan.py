"""Times of planned stops with long and short grace periods."""

import pytest

from oriolegauge.forwarding.drainplan import BALANCER_REMOVAL_S, DrainPlan

BEGAN_AT = 100.0
GRACES_S = (0, 0.3, 1, 2, 2.6, 3, 3.5, 5, 10, 30)


def plan(grace_s=5.0):
    return DrainPlan.for_grace(BEGAN_AT, grace_s)


class TestTimes:
    @pytest.mark.parametrize('grace_s', GRACES_S)
    def test_all_ends_within_the_grace(self, grace_s):
        """Guards against waiting for the balancer beyond a short grace.

        The platform kills the process then, and no grant is returned.
        """
        times = plan(grace_s)
        steps = [
            BEGAN_AT,
            times.listener_closes_at,
            times.idle_closes_at,
            times.answers_until,
            times.flushed_by,
            times.closed_by,
            BEGAN_AT + grace_s,
        ]
        assert steps == sorted(steps)
        assert times.listener_closes_at <= BEGAN_AT + BALANCER_REMOVAL_S

    @pytest.mark.parametrize('grace_s', GRACES_S)
    def test_requests_are_given_up_in_the_last_sixth(self, grace_s):
        """Guards against cutting requests earlier than callers accept."""
        earliest = BEGAN_AT + grace_s * 5 / 6
        assert plan(grace_s).answers_until >= earliest - 1e-9


class TestMayServe:
    def test_requests_sent_by_the_balancer_are_served(self):
        """Guards against refusing what the balancer still sends."""
        assert plan().may_serve(deadline=BEGAN_AT + 60, now=BEGAN_AT + 2.59)

    def test_late_request_that_may_outlast_the_stop_is_refused(self):
        """Guards against late requests that are cut at the end."""
        times = plan()
        for now in (BEGAN_AT + 2.6, times.answers_until + 0.1):
            assert not times.may_serve(times.answers_until + 0.2, now)

    def test_late_request_that_ends_in_time_is_served(self):
        """Guards against refusing requests that can be answered."""
        times = plan()
        assert times.may_serve(times.answers_until - 0.1, BEGAN_AT + 3.5)

    def test_short_grace_refuses_only_in_its_last_moment(self):
        """Guards against refusing all that the balancer sends for seconds."""
        times = plan(2.0)
        assert times.may_serve(BEGAN_AT + 60, BEGAN_AT + 1.1)
        assert not times.may_serve(BEGAN_AT + 60, BEGAN_AT + 1.3)
