"""Numbered result codes; the command-line tool exits with the same number."""

from enum import IntEnum


class ResultCode(IntEnum):
    """Number the outcomes that callers and operators see."""

    OK = 0
    USAGE = 2
    INVALID_REQUEST = 10
    UNAUTHENTICATED = 11
    FORBIDDEN = 12
    NOT_FOUND = 13
    BODY_TOO_LARGE = 14
    KEY_REUSED = 15
    ANSWER_EXPIRED = 16
    TOO_MANY_CONNECTIONS = 17
    BUDGET_EXHAUSTED = 20
    BUDGET_UNKNOWN = 21
    HOLDER_CLOSED = 22
    QUEUE_FULL = 30
    DEADLINE_UNREACHABLE = 31
    DRAINING = 32
    NO_SERVER = 33
    QUARANTINED = 34
    STARTING = 35
    SERVER_FAILED = 40
    OUTCOME_UNKNOWN = 41
    ANSWER_INCOMPLETE = 42
    RETRY_BUDGET_SPENT = 43
    STORE_UNAVAILABLE = 50
    STORE_CONFLICT = 51
    STORE_ANSWER_LOST = 52
    STORE_RATE_LIMITED = 53
    CONFIG_INVALID = 60
    CONFIG_STALE = 61
    SETTINGS_INVALID = 62
    PEER_UNREACHABLE = 70
    PEER_REJECTED = 71
    INTERNAL = 90


HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.INVALID_REQUEST: 400,
    ResultCode.UNAUTHENTICATED: 401,
    ResultCode.FORBIDDEN: 403,
    ResultCode.NOT_FOUND: 404,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.KEY_REUSED: 409,
    ResultCode.ANSWER_EXPIRED: 410,
    ResultCode.TOO_MANY_CONNECTIONS: 429,
    ResultCode.BUDGET_EXHAUSTED: 402,
    ResultCode.BUDGET_UNKNOWN: 404,
    ResultCode.QUEUE_FULL: 429,
    ResultCode.DEADLINE_UNREACHABLE: 503,
    ResultCode.DRAINING: 503,
    ResultCode.NO_SERVER: 503,
    ResultCode.QUARANTINED: 422,
    ResultCode.STARTING: 503,
    ResultCode.SERVER_FAILED: 502,
    ResultCode.OUTCOME_UNKNOWN: 504,
    ResultCode.ANSWER_INCOMPLETE: 502,
    ResultCode.RETRY_BUDGET_SPENT: 503,
    ResultCode.STORE_UNAVAILABLE: 503,
    ResultCode.STORE_CONFLICT: 409,
    ResultCode.STORE_ANSWER_LOST: 503,
    ResultCode.STORE_RATE_LIMITED: 503,
    ResultCode.CONFIG_STALE: 503,
    ResultCode.PEER_UNREACHABLE: 503,
    ResultCode.PEER_REJECTED: 502,
    ResultCode.INTERNAL: 500,
}
