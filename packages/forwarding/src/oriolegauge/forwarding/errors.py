"""Errors of callers' and servers' connections."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState
from oriolegauge.routing.connectfailure import ConnectFailure


class CallerError(OriolegaugeError):
    """Report a malformed, oversized or slow request.

    `status` is the HTTP status of the answer.
    """

    code = ResultCode.INVALID_REQUEST

    def __init__(
        self,
        status: int,
        message: str,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        """Set the HTTP status with which the request is refused."""
        super().__init__(message, retry_after_s=retry_after_s)
        self.status = status


class CallerDisconnectedError(OriolegaugeError):
    """Report that the caller closed its connection or stopped reading."""

    code = ResultCode.ANSWER_INCOMPLETE
    run_state = RunState.UNKNOWN


class ServerUnreachableError(OriolegaugeError):
    """Report that no byte of the request was sent to the server.

    `failure` tells how the connection failed.
    """

    code = ResultCode.NO_SERVER

    def __init__(
        self, message: str, failure: ConnectFailure = ConnectFailure.SILENT
    ) -> None:
        """Describe why the server can't be reached."""
        super().__init__(message)
        self.failure = failure

    @property
    def is_refused(self) -> bool:
        """State whether its host answered that nothing listens there."""
        return self.failure is ConnectFailure.REFUSED


class ReplyBrokenError(OriolegaugeError):
    """Report a reply that is missing, malformed or incomplete."""

    code = ResultCode.SERVER_FAILED
    run_state = RunState.UNKNOWN
