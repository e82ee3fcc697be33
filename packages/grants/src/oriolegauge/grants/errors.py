"""Errors of prepaid grants; the request has not run in each case."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class PrepaidExhaustedError(OriolegaugeError):
    """Refuse a request that the unspent prepaid tokens can't pay for."""

    code = ResultCode.BUDGET_EXHAUSTED


class GrantUnavailableError(OriolegaugeError):
    """Refuse a request whose tokens can't be granted at the moment."""

    code = ResultCode.STORE_UNAVAILABLE
