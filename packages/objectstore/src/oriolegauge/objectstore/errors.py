"""Errors of the object store client."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.objectstore.storedobject import StoredObject


class StoreError(OriolegaugeError):
    """Group the failures of store calls."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """Report a call that the store did not apply."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnreachableError(StoreUnavailableError):
    """Report that no connection to the store exists; not applied."""


class StoreRateLimitError(StoreError):
    """Report a call that the store refused for its rate; not applied."""

    code = ResultCode.STORE_RATE_LIMITED


class VersionConflictError(StoreError):
    """Report an update whose expected version is not the current one.

    `current` is the object as it is, if the store told it.
    """

    code = ResultCode.STORE_CONFLICT

    def __init__(
        self, message: str, *, current: StoredObject | None = None
    ) -> None:
        """Keep the object that the update met."""
        super().__init__(message)
        self.current = current


class HistoryLostError(StoreError):
    """Report that the store no longer has the changes since a version."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreAnswerLostError(StoreError):
    """Report a call that may have been applied."""

    code = ResultCode.STORE_ANSWER_LOST
