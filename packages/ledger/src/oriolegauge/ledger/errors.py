"""Errors of reused keys, expired answers and refused claims."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState


class KeyReusedError(OriolegaugeError):
    """Reject an idempotency key that was used with another request."""

    code = ResultCode.KEY_REUSED


class AnswerExpiredError(OriolegaugeError):
    """Report that the request ended and its answer is no longer stored."""

    code = ResultCode.ANSWER_EXPIRED
    run_state = RunState.RAN


class ClaimRefusedError(OriolegaugeError):
    """Reject non-idempotent work whose claim could not be stored."""

    code = ResultCode.STORE_UNAVAILABLE


class IntentLogFullError(OriolegaugeError):
    """Reject a claim because the intents object is at its size limit."""

    code = ResultCode.STORE_RATE_LIMITED
