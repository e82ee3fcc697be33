"""Errors of budget accounting."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class BudgetExhaustedError(OriolegaugeError):
    """Refuse a request that the prepaid amount cannot pay."""

    code = ResultCode.BUDGET_EXHAUSTED


class BudgetUnreachableError(BudgetExhaustedError):
    """Refuse a request in a store outage: no grant can pay, the pool might."""

    code = ResultCode.STORE_UNAVAILABLE


class BudgetUnknownError(OriolegaugeError):
    """Report a budget that does not exist."""

    code = ResultCode.BUDGET_UNKNOWN


class HolderClosedError(OriolegaugeError):
    """Report a write by a holder whose grants were closed."""

    code = ResultCode.HOLDER_CLOSED


class ShardInvariantError(OriolegaugeError):
    """Reject an update after which a budget would be overspent."""

    code = ResultCode.INTERNAL


class BudgetPeerError(OriolegaugeError):
    """Report a peer call without an answer; it may have been carried out."""

    code = ResultCode.PEER_UNREACHABLE
