"""Targets for the prepaid tokens that are held ahead of demand.

In a store outage of some seconds only held tokens can be spent: the working
tokens should last until reserves may be opened, the reserves for the rest of
the outage. If all daemons crash, the working tokens count as spent and are lost
to the team, so their amount is limited. Near the end of a budget held tokens
are missing elsewhere, so only a share of the remaining ones is held.
"""

from dataclasses import dataclass

from oriolegauge.grants.grantledger import RESERVE_CLOSED_S

# The pool keeps tokens for this time of demand beside the reserves: a team with
# a sudden burst must not be refused because of tokens in reserve, which are
# resized to the demand within a second.
POOL_S = 4.0
# Period of renewals. Working tokens last from the last renewal before an outage
# until reserves may be opened.
WRITE_PERIOD_S = 0.5
WORKING_S = RESERVE_CLOSED_S + WRITE_PERIOD_S
# Longest store outage without refusals: the longest partitions seen last 9 s,
# and demand may rise meanwhile.
OUTAGE_S = 12.0
# Working tokens are lost when all daemons crash. Callers must be able to use
# all but the last 3% of a budget, so one crash may take this share of it.
LOST_SHARE = 0.015
# Shares of the available tokens. Both are lost, less than half together, if all
# daemons crash and nothing proves what was opened of the reserves.
WORKING_SHARE = 0.07
RESERVE_SHARE = 0.43
# Reserves shrink by this multiple of the tokens that hosts not heard of hold,
# which may still open them. With more than one, a series of losses strands only
# a part of the target.
STRANDED_WEIGHT = 3.0
# Working tokens shrink in the same proportion as reserves, to this share.
LEAST_WORKING_SHARE = 0.25
# Below this share of the budget, or the tokens of this many requests, nothing
# is reserved: the remaining tokens must be available in one place.
LAST_SHARE = 0.08
FEW_REQUESTS = 25
# Minimum target of working tokens, as a share of the budget, before demand is
# known.
FIRST_SHARE = 0.02
# Daemons other than the allocator hold tokens for this time of demand only,
# since one call to the allocator gets more.
DAEMON_AHEAD_S = 0.5


# Reserves open somewhat faster than the recent demand spends them, and over at
# least SHORTEST_OPENING_S.
OPENING_FACTOR = 1.2
SHORTEST_OPENING_S = 2.0


@dataclass(frozen=True, slots=True)
class HoldingTargets:
    """Count the tokens to hold as working tokens and in all reserves.

    `working` tokens can be spent at once; reserves open over `open_s` seconds.
    """

    working: int
    reserve: int = 0
    open_s: float = SHORTEST_OPENING_S


def holding_targets(
    *,
    rate: float,
    request_tokens: float,
    available_tokens: int,
    prepaid: int,
    stranded_tokens: int = 0,
) -> HoldingTargets:
    """Return the targets at a demand of `rate` tokens a second.

    `request_tokens` is the mean of a request. `available_tokens` counts those
    in the pool, in the allocator's account and in reserves of hosts that are
    heard of; `stranded_tokens` are in the reserves of the others.
    """
    demand_tokens = max(rate * WORKING_S, prepaid * FIRST_SHARE)
    working = min(
        demand_tokens, prepaid * LOST_SHARE, available_tokens * WORKING_SHARE
    )
    reserve = min(
        rate * (OUTAGE_S - RESERVE_CLOSED_S),
        available_tokens * RESERVE_SHARE,
        max(0, available_tokens - rate * POOL_S),
    )
    if stranded_tokens:
        # Hosts are being lost: the next one may be the allocator.
        kept = max(0, reserve - stranded_tokens * STRANDED_WEIGHT)
        working *= max(LEAST_WORKING_SHARE, kept / max(1, reserve))
        reserve = kept
    if available_tokens < max(
        prepaid * LAST_SHARE, request_tokens * FEW_REQUESTS
    ):
        reserve = 0
    open_s = SHORTEST_OPENING_S
    if rate:
        open_s = max(open_s, reserve / (rate * OPENING_FACTOR))
    return HoldingTargets(int(working), int(reserve), round(open_s, 1))
