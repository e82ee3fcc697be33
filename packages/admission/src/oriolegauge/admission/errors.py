"""Errors for requests that admission rejects before they run."""

from oriolegauge.core import OriolegaugeError, ResultCode


class QueueFullError(OriolegaugeError):
    """Reject a job because its class, or the share of its team, is full."""

    code = ResultCode.QUEUE_FULL


class HostBusyError(OriolegaugeError):
    """Reject a request because the network link of the host is full."""

    code = ResultCode.QUEUE_FULL


class DeadlineUnreachableError(OriolegaugeError):
    """Reject a job that can't end before its deadline."""

    code = ResultCode.DEADLINE_UNREACHABLE


class CapacityShortError(OriolegaugeError):
    """Refuse a request in favor of others while servers are full."""

    code = ResultCode.QUEUE_FULL
