"""Errors of calls to backend servers."""

from oriolegauge.core.errors import ServerFailedError
from oriolegauge.core.runstate import RunState

HTTP_SERVER_ERROR = 500


class ServerConnectError(ServerFailedError):
    """Report a connection that failed before the request was sent."""

    run_state = RunState.NOT_RUN


class ServerConnectionLostError(ServerFailedError):
    """Report an answer lost after the request was sent; it may have run."""

    run_state = RunState.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        timed_out: bool = False,
        retry_delay_s: float | None = None,
    ) -> None:
        """Set `timed_out` if the server sent nothing in time.

        Otherwise the connection was lost or the answer was invalid, which may
        be the sign of a crash. `retry_delay_s` is the backoff of the retry
        that was taken before the attempt was ended, None if none was.
        """
        super().__init__(message)
        self.timed_out = timed_out
        self.retry_delay_s = retry_delay_s


class ServerRejectedError(ServerFailedError):
    """Report an HTTP error status of the backend server."""

    run_state = RunState.RAN

    def __init__(self, message: str, *, status: int, body: bytes = b'') -> None:
        """Keep the HTTP status and body for the caller."""
        super().__init__(message)
        self.status = status
        self.body = body

    @property
    def is_server_fault(self) -> bool:
        """Return whether another server could handle the same request."""
        return self.status >= HTTP_SERVER_ERROR
