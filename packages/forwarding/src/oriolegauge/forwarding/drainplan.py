"""Times of a planned stop, and which requests are still served in it."""

from dataclasses import dataclass

# The load balancer polls readiness once a second and removes a daemon after two
# failures. Connections that it opens until then are still served.
BALANCER_REMOVAL_S = 2.6
# Reserved at the end of the grace period to send the last answers, return
# grants and close. At most that share of the grace: requests whose server is
# still at work may be given up only in its last sixth.
CLOSING_S = 0.8
CLOSING_SHARE = 1 / 6
# Part of the reserved time in which callers can read their last answers.
FLUSH_SHARE = 0.3
# Part of the reserved time for the process to exit, which takes 0.15 s on an
# idle host and twice as long on a busy one.
EXIT_SHARE = 0.5
# Connections on which no request has begun are closed that long before requests
# are given up, so that none arrives in the last moment.
IDLE_CLOSE_S = 0.2
# A grace period can be too short for the balancer. Requests that may outlast it
# are then refused only in this time before requests are given up.
LAST_REFUSALS_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPlan:
    """Hold the loop times (s) of a planned stop.

    `refuses_from` is the time from which requests that may outlast the stop are
    refused; `answers_until` is that at which requests still running are given
    up. Their answers are sent until `flushed_by`, and grants returned until
    `closed_by`.
    """

    listener_closes_at: float
    refuses_from: float
    idle_closes_at: float
    answers_until: float
    flushed_by: float
    closed_by: float

    @classmethod
    def for_grace(cls, began_at: float, grace_s: float) -> 'DrainPlan':
        """Return the plan of a stop that began at the loop time."""
        closing_s = min(CLOSING_S, grace_s * CLOSING_SHARE)
        answers_until = began_at + grace_s - closing_s
        balancer_done_at = began_at + BALANCER_REMOVAL_S
        idle_closes_at = max(began_at, answers_until - IDLE_CLOSE_S)
        return cls(
            listener_closes_at=min(balancer_done_at, idle_closes_at),
            refuses_from=min(balancer_done_at, answers_until - LAST_REFUSALS_S),
            idle_closes_at=idle_closes_at,
            answers_until=answers_until,
            flushed_by=answers_until + closing_s * FLUSH_SHARE,
            closed_by=began_at + grace_s - closing_s * EXIT_SHARE,
        )

    def may_serve(self, deadline: float, now: float) -> bool:
        """State whether a request that arrived now is served.

        Until the balancer has removed the daemon, all are: most end in time,
        and refusing them would cost each caller a retry.
        """
        return now < self.refuses_from or deadline <= self.answers_until
