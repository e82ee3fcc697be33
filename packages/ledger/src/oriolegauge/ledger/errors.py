"""Errors of request identity and intents."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState


class KeyReusedError(OriolegaugeError):
    """Refuse an idempotency key that was used with another request."""

    code = ResultCode.KEY_REUSED


class AnswerExpiredError(OriolegaugeError):
    """Report that the request ended and its answer is no longer held."""

    code = ResultCode.ANSWER_EXPIRED
    run_state = RunState.RAN


class ClaimRefusedError(OriolegaugeError):
    """Refuse non-idempotent work whose claim could not be stored."""

    code = ResultCode.STORE_UNAVAILABLE


class IntentLogFullError(OriolegaugeError):
    """Refuse a claim while the intents object has no room for it."""

    code = ResultCode.STORE_RATE_LIMITED
