"""Decision whether a request goes on, waits or is refused.

Matters when capacity is short: the work whose delay or refusal costs callers
least makes room for the rest. The functions are pure; all daemons that see the
same loads decide alike. Every bound is a share of what the caller asked for.
"""

import math
from dataclasses import dataclass

# Refusing is a mistake while less than half of the slots are taken; the rest is
# a margin for loads that are a fraction of a second old.
REFUSAL_BUSY_SHARE = 0.55
# A request that is refused in the end may be held for an eighth of its
# objective. The difference covers a late timer on a busy host.
HOLD_SHARE = 0.1
# A request is held for longer only if the line ahead of it takes at most this
# share of its slack, so that it is nearly sure to be served.
SURE_SHARE = 0.5
# Share of the objective above which the wait for others makes a service scarce
# for all but the most urgent class, for which it is the whole objective.
SCARCE_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Supply:
    """Describe the servers of a service as a request sees them.

    `busy_share` is the share of the `slots` that requests of all daemons take,
    `wait_s` the expected time to the first event of a request that is sent now,
    `reading_s` the mean time to read the prompts that wait at a server.
    """

    busy_share: float
    wait_s: float
    reading_s: float
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """Describe a request at the gate; times are seconds from now.

    It may fill the slots up to `mark`. `rank` is 0 in the most urgent class.
    `left_s` is the time to its deadline, `objective_left_s` that to its
    objective or deadline, whichever is earlier. `hold_s` is how much longer it
    may be held if it is then refused. A backlog of `reading_bound_s` leaves no
    room for the reading of its prompt. Servers put `share_ahead` of the work in
    their slots before it; it preempts the rest.
    """

    rank: int
    mark: float
    objective_s: float
    objective_left_s: float
    left_s: float
    hold_s: float
    reading_bound_s: float = math.inf
    share_ahead: float = 1.0


@dataclass(frozen=True, slots=True)
class Ample:
    """State that a slot may be had at once."""


@dataclass(frozen=True, slots=True)
class Scarce:
    """State that a slot may be had after others.

    The request can wait for `slack_s` and still meet its objective. It is
    expected to get a slot after `queue_s`, None if that is unknown.
    """

    slack_s: float
    queue_s: float | None
    may_refuse: bool


@dataclass(frozen=True, slots=True)
class Overdue:
    """State that the answer is expected `late_s` after the deadline."""

    late_s: float


Condition = Ample | Scarce | Overdue


@dataclass(frozen=True, slots=True)
class GoOn:
    """Send the request now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Hold the request for at most `seconds`.

    If it is promised, it is sent at that time at the latest; otherwise it is
    decided again.
    """

    seconds: float
    is_promised: bool


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request; capacity is expected in `retry_after_s`."""

    reason: str
    retry_after_s: float


Decision = GoOn | Wait | Refuse


def assess(
    need: Need, supply: Supply, *, queue_s: float | None, has_line: bool
) -> Condition:
    """Return the condition of a service for a request.

    `has_line` states that requests wait which come before it.
    """
    may_refuse = supply.busy_share >= REFUSAL_BUSY_SHARE
    if may_refuse and supply.wait_s > need.left_s:
        return Overdue(supply.wait_s - need.left_s)
    fill = max(
        supply.busy_share * need.share_ahead,
        supply.reading_s / need.reading_bound_s,
    )
    if fill < need.mark and not has_line and not _is_slow(need, supply):
        return Ample()
    return Scarce(need.objective_left_s - supply.wait_s, queue_s, may_refuse)


def decide(need: Need, condition: Condition) -> Decision:
    """Return what happens to a request under a condition."""
    match condition:
        case Ample():
            return GoOn()
        case Overdue(late_s=late_s):
            return Refuse('no answer is expected before the deadline', late_s)
        case Scarce(may_refuse=False, slack_s=slack_s):
            hold_s = min(need.hold_s, slack_s)
            return Wait(hold_s, is_promised=True) if hold_s > 0 else GoOn()
        case Scarce(slack_s=slack_s, queue_s=queue_s) if slack_s <= 0:
            late_s = (queue_s or need.objective_s) - slack_s
            return Refuse('the objective can not be met', late_s)
        case Scarce(queue_s=float(queue_s), slack_s=slack_s) if (
            queue_s <= SURE_SHARE * slack_s
        ):
            return Wait(slack_s, is_promised=True)
        case Scarce(queue_s=float(queue_s), slack_s=slack_s) if (
            queue_s > slack_s
        ):
            return Refuse('no slot is expected in time', queue_s)
        case Scarce(queue_s=queue_s) if need.hold_s <= 0:
            return Refuse(
                'no slot was free in time', queue_s or need.objective_s
            )
        case Scarce(slack_s=slack_s):
            return Wait(min(need.hold_s, slack_s), is_promised=False)


def _is_slow(need: Need, supply: Supply) -> bool:
    """State whether the work of others takes too much of the objective.

    A long time to read the request's own prompt is no sign of scarcity.
    """
    bearable_s = need.objective_s
    if need.rank:
        bearable_s *= SCARCE_WAIT_SHARE
    return min(supply.wait_s, supply.reading_s) > bearable_s
