"""Errors of calls between daemons."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState
from oriolegauge.wire.messages import Failure


class WireError(OriolegaugeError):
    """Base class of all failures of calls to peers."""

    code = ResultCode.PEER_UNREACHABLE


class PeerUnreachableError(WireError):
    """Report a peer without a link; `UNKNOWN` if the call was sent before."""


class PeerTimeoutError(WireError):
    """Report a call that timed out; it may have run."""

    run_state = RunState.UNKNOWN


class PeerBusyError(WireError):
    """Report a call that was not sent because too many are pending."""


class StreamOverflowError(WireError):
    """Report a stream whose reader was too slow for its bounded buffer."""

    run_state = RunState.UNKNOWN


class MalformedMessageError(WireError):
    """Report bytes or values that can't be decoded or encoded as a message."""

    code = ResultCode.PEER_REJECTED


class MessageTooLargeError(WireError):
    """Report a message above the size limit; it was not sent."""

    code = ResultCode.PEER_REJECTED


class PeerFailedError(WireError):
    """Report the `Failure` that the peer returned."""

    code = ResultCode.PEER_REJECTED

    def __init__(self, failure: Failure) -> None:
        """Take the code, run state and retry time from the answer."""
        super().__init__(
            failure.message,
            run_state=failure.run_state,
            retry_after_s=failure.retry_after_s,
        )
        self.failure = failure
        self.code = result_code(failure.code)


def result_code(number: int) -> ResultCode:
    """Return the code; codes of newer versions become INTERNAL."""
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL


def as_failure(error: OriolegaugeError) -> Failure:
    """Return the message that reports the error to a peer."""
    return Failure(
        code=error.code,
        run_state=error.run_state,
        message=error.message,
        retry_after_s=error.retry_after_s,
    )
