"""Errors of prepaid grants; none of the refused requests has run."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class PrepaidExhaustedError(OriolegaugeError):
    """Refuse a request that the unspent prepaid tokens can't pay for."""

    code = ResultCode.BUDGET_EXHAUSTED


class GrantUnavailableError(OriolegaugeError):
    """Refuse a request whose tokens can't be granted now; retry later."""

    code = ResultCode.STORE_UNAVAILABLE
