"""Errors of the command-line tool."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class UsageError(OriolegaugeError):
    """Reject arguments that do not make sense together."""

    code = ResultCode.USAGE


class EditConflictError(OriolegaugeError):
    """Report that another operator changed the same place first."""

    code = ResultCode.STORE_CONFLICT


class ChangeUnknownError(OriolegaugeError):
    """Report a change of which the store's answer could not be resolved."""

    code = ResultCode.STORE_ANSWER_LOST


class DaemonUnreachableError(OriolegaugeError):
    """Report that a daemon's admin port does not answer."""

    code = ResultCode.PEER_UNREACHABLE


class DaemonRejectedError(OriolegaugeError):
    """Report that a daemon's admin port refused the call."""

    code = ResultCode.PEER_REJECTED
