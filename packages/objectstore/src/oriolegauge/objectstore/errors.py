"""Errors of the object store client."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.objectstore.storedobject import StoredObject


class StoreError(OriolegaugeError):
    """Base class of failed store calls."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """Report that the store failed or rejected the call; not applied."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnreachableError(StoreUnavailableError):
    """Report that the store can't be reached; the call was not applied."""


class StoreRateLimitError(StoreError):
    """Report a call beyond the rate limit of the store; not applied."""

    code = ResultCode.STORE_RATE_LIMITED


class VersionConflictError(StoreError):
    """Report an update whose expected version is not the current one.

    `current` is the current object, if the store returned it.
    """

    code = ResultCode.STORE_CONFLICT

    def __init__(
        self, message: str, *, current: StoredObject | None = None
    ) -> None:
        """Keep the current object."""
        super().__init__(message)
        self.current = current


class HistoryLostError(StoreError):
    """Report that the store no longer has the changes after a revision."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreAnswerLostError(StoreError):
    """Report a lost reply: the call may have been applied or not."""

    code = ResultCode.STORE_ANSWER_LOST
