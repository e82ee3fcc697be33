"""Errors of the caller port."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class BodyTooLargeError(OriolegaugeError):
    """Refuse a request body above the configured limit."""

    code = ResultCode.BODY_TOO_LARGE


class TooManyConnectionsError(OriolegaugeError):
    """Refuse a request while too many requests are open."""

    code = ResultCode.TOO_MANY_CONNECTIONS
