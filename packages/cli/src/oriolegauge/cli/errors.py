"""Errors of the command-line tool."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class UsageError(OriolegaugeError):
    """Reject arguments that are invalid or contradict each other."""

    code = ResultCode.USAGE


class EditConflictError(OriolegaugeError):
    """Report that another operator changed the same value first."""

    code = ResultCode.STORE_CONFLICT


class ChangeUnknownError(OriolegaugeError):
    """Report a change that may or may not have been applied.

    The answer of the store was lost, and the object could not be read back.
    """

    code = ResultCode.STORE_ANSWER_LOST


class DaemonUnreachableError(OriolegaugeError):
    """Report that the admin port of a daemon is unreachable."""

    code = ResultCode.PEER_UNREACHABLE


class DaemonRejectedError(OriolegaugeError):
    """Report that the admin port of a daemon rejected the call."""

    code = ResultCode.PEER_REJECTED
