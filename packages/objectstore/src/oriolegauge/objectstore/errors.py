"""Errors of the object store client."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class StoreError(OriolegaugeError):
    """Group the failures of store calls."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """Report a call that the store did not apply."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnreachableError(StoreUnavailableError):
    """Report that no connection to the store exists; not applied."""


class StoreRateLimitError(StoreError):
    """Report a call that the store refused for its rate; not applied."""

    code = ResultCode.STORE_RATE_LIMITED


class VersionConflictError(StoreError):
    """Report an update whose expected version is not the current one."""

    code = ResultCode.STORE_CONFLICT


class StoreAnswerLostError(StoreError):
    """Report a call that may have been applied."""

    code = ResultCode.STORE_ANSWER_LOST
