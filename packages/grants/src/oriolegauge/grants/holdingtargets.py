"""How many prepaid tokens are held ahead of demand.

Answers three loads at once. A store that is away for seconds: tokens in hand
are all there is, so a working part should last until reserves may be opened,
and the reserves for the rest of the outage. The death of all daemons: the
working part counts as spent, and callers would be refused in sight of it for
the rest of the budget. And the end of a budget: whatever is held is missing
elsewhere, so no more than a share of what is left is held at all.
"""

from dataclasses import dataclass

from oriolegauge.grants.grantledger import CLOSED_S

# Demand that the pool meets beside the reserves: a tenant that suddenly takes
# many times its use must not be refused for tokens in reserve, which follow the
# demand within a second.
POOL_S = 4.0
# Renewals are written this often; the working part lasts from one before the
# outage until reserves may be opened.
WRITE_PERIOD_S = 0.5
WORKING_S = CLOSED_S + WRITE_PERIOD_S
# Longest outage that is served whole: the longest partitions seen last 9 s, and
# demand may rise meanwhile.
OUTAGE_S = 12.0
# The working part is lost when all die. Callers are owed all but the last 3 in
# 100 of a budget, so one death may take this share of it.
LOST_SHARE = 0.015
# Shares of the tokens in reach: held together, less than half is lost if all
# die and nothing can be shown of their reserves.
WORKING_SHARE = 0.07
RESERVE_SHARE = 0.43
# The last part of a budget, and budgets of few requests, are not held back from
# requests: they need what is there in one place.
LAST_SHARE = 0.08
FEW_REQUESTS = 25
# Held before much demand was seen, as a share of the budget.
FIRST_SHARE = 0.02
# Other daemons hold tokens ahead for this time, since one call gets more.
OWN_S = 0.5


# Reserves open somewhat faster than the recent demand spends them, and in no
# less than this time.
OPENING_FACTOR = 1.2
SHORTEST_OPENING_S = 2.0


@dataclass(frozen=True, slots=True)
class HoldingTargets:
    """Tell how many tokens to hold in hand and in all reserves together.

    Reserves become open over `open_s`.
    """

    working: int
    reserve: int = 0
    open_s: float = SHORTEST_OPENING_S


def holding_targets(
    *, rate: float, request_tokens: float, reach: int, prepaid: int
) -> HoldingTargets:
    """Return what to hold at a demand of `rate` tokens a second.

    `request_tokens` is the mean of a request; `reach` are the tokens that are
    free, in hand or in reserves.
    """
    wish = max(rate * WORKING_S, prepaid * FIRST_SHARE)
    working = min(wish, prepaid * LOST_SHARE, reach * WORKING_SHARE)
    reserve = min(
        rate * (OUTAGE_S - CLOSED_S),
        reach * RESERVE_SHARE,
        max(0, reach - rate * POOL_S),
    )
    if reach < max(prepaid * LAST_SHARE, request_tokens * FEW_REQUESTS):
        reserve = 0
    open_s = SHORTEST_OPENING_S
    if rate:
        open_s = max(open_s, reserve / (rate * OPENING_FACTOR))
    return HoldingTargets(int(working), int(reserve), round(open_s, 1))
