"""Errors of budget accounting."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class BudgetExhaustedError(OriolegaugeError):
    """The prepaid tokens cannot pay for a request."""

    code = ResultCode.BUDGET_EXHAUSTED


class BudgetUnreachableError(BudgetExhaustedError):
    """No grant can pay, and the store is unavailable.

    The pool in the store may still have tokens.
    """

    code = ResultCode.STORE_UNAVAILABLE


class BudgetUnknownError(OriolegaugeError):
    """The budget does not exist."""

    code = ResultCode.BUDGET_UNKNOWN


class HolderClosedError(OriolegaugeError):
    """A holder wrote to a shard in which it was closed."""

    code = ResultCode.HOLDER_CLOSED


class ShardInvariantError(OriolegaugeError):
    """An update would overspend a budget."""

    code = ResultCode.INTERNAL


class BudgetPeerError(OriolegaugeError):
    """A peer did not reply; it may have processed the message."""

    code = ResultCode.PEER_UNREACHABLE
