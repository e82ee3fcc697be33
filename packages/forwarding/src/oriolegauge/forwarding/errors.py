"""Errors of forwarding."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState


class CallerError(OriolegaugeError):
    """Reject what a caller sent; `status` is the HTTP status."""

    code = ResultCode.INVALID_REQUEST

    def __init__(self, status: int, message: str) -> None:
        """Answer with the status and close the connection."""
        super().__init__(message)
        self.status = status


class CallerGoneError(OriolegaugeError):
    """Report that the caller closed its connection or stopped reading."""

    code = ResultCode.ANSWER_INCOMPLETE
    run_state = RunState.UNKNOWN


class ServerUnreachableError(OriolegaugeError):
    """Report that no byte of the request was sent to the server."""

    code = ResultCode.NO_SERVER


class ReplyBrokenError(OriolegaugeError):
    """Report a reply that is missing, malformed or incomplete."""

    code = ResultCode.SERVER_FAILED
    run_state = RunState.UNKNOWN
