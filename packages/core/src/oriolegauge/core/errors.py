"""Base exception, and the errors that several packages raise."""

from typing import ClassVar

from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState


class OriolegaugeError(Exception):
    """Carry the result code, whether the work ran, and a retry delay."""

    code: ClassVar[ResultCode] = ResultCode.INTERNAL
    run_state: RunState = RunState.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        run_state: RunState | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Describe the failure for callers and logs.

        `run_state` overrides that of the class; `retry_after_s` is the delay
        in seconds after which the caller should retry.
        """
        super().__init__(message)
        self.message = message
        self.run_state = run_state or type(self).run_state
        self.retry_after_s = retry_after_s


class InvalidRequestError(OriolegaugeError):
    """Reject a request that is malformed."""

    code = ResultCode.INVALID_REQUEST


class UnauthenticatedError(OriolegaugeError):
    """Reject a caller without a known key."""

    code = ResultCode.UNAUTHENTICATED


class ForbiddenError(OriolegaugeError):
    """Reject a caller or operator that lacks the permission."""

    code = ResultCode.FORBIDDEN


class NotFoundError(OriolegaugeError):
    """Report a missing route, model, service or object."""

    code = ResultCode.NOT_FOUND


class NoServerError(OriolegaugeError):
    """Report that no backend server can accept the request now."""

    code = ResultCode.NO_SERVER


class DrainingError(OriolegaugeError):
    """Refuse new work while the daemon drains."""

    code = ResultCode.DRAINING


class StartingError(OriolegaugeError):
    """Refuse work until the daemon has loaded the configuration."""

    code = ResultCode.STARTING


class ServerFailedError(OriolegaugeError):
    """Report that a backend server failed the request."""

    code = ResultCode.SERVER_FAILED
    run_state = RunState.UNKNOWN


class OutcomeUnknownError(OriolegaugeError):
    """Report that a non-idempotent request may have run.

    It is not retried, since it could run twice.
    """

    code = ResultCode.OUTCOME_UNKNOWN
    run_state = RunState.UNKNOWN


class AnswerIncompleteError(OriolegaugeError):
    """Report a streamed answer that ended before its end marker."""

    code = ResultCode.ANSWER_INCOMPLETE
    run_state = RunState.RAN
