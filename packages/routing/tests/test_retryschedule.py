"""Return of callers that were refused since all servers are limited."""

from oriolegauge.routing.retryschedule import MAX_WAIT_S, RetrySchedule


class TestRetrySchedule:
    def test_callers_return_at_the_rate_at_which_servers_take_them(self):
        """Guards against a Retry-After that is true for one caller only."""
        schedule = RetrySchedule()
        waits = [
            schedule.wait_s('svc', earliest_s=0.2, per_s=2.5, left_s=9, now=10)
            for _ in range(4)
        ]
        assert [round(wait_s, 3) for wait_s in waits] == [0.2, 0.7, 1.2, 1.7]

    def test_services_are_told_apart_and_old_callers_are_forgotten(self):
        schedule = RetrySchedule()
        for _ in range(4):
            schedule.wait_s('svc', earliest_s=0.2, per_s=2.5, left_s=9, now=10)
        other = schedule.wait_s(
            'other', earliest_s=0.2, per_s=2.5, left_s=9, now=10
        )
        later = schedule.wait_s(
            'svc', earliest_s=0.2, per_s=2.5, left_s=9, now=30
        )
        assert [round(other, 3), round(later, 3)] == [0.2, 0.2]

    def test_waits_are_bounded(self):
        """Guards against callers that are sent away for hours."""
        schedule = RetrySchedule()
        waits = [
            schedule.wait_s(
                'svc', earliest_s=0.2, per_s=0.01, left_s=999, now=10
            )
            for _ in range(9)
        ]
        assert max(waits) <= MAX_WAIT_S

    def test_callers_that_can_not_return_take_no_place(self):
        """Guards against waits for callers that have given up."""
        schedule = RetrySchedule()
        waits = [
            schedule.wait_s('svc', earliest_s=0.2, per_s=2.5, left_s=1, now=10)
            for _ in range(9)
        ]
        assert round(max(waits), 3) == 1.2
