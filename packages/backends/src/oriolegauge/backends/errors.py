"""Errors of calls to backend servers."""

from oriolegauge.core.errors import ServerFailedError
from oriolegauge.core.runstate import RunState

HTTP_SERVER_ERROR = 500


class ServerConnectError(ServerFailedError):
    """Report a connection that failed before any byte was sent."""

    run_state = RunState.NOT_RUN


class ServerConnectionLostError(ServerFailedError):
    """Report a connection lost after the request was sent."""

    run_state = RunState.UNKNOWN

    def __init__(self, message: str, *, timed_out: bool = False) -> None:
        """Tell whether the server was silent, or the connection was lost."""
        super().__init__(message)
        self.timed_out = timed_out


class ServerRejectedError(ServerFailedError):
    """Report an error status of the backend server."""

    run_state = RunState.RAN

    def __init__(self, message: str, *, status: int, body: bytes = b'') -> None:
        """Keep the HTTP status and body for the caller."""
        super().__init__(message)
        self.status = status
        self.body = body

    @property
    def is_server_fault(self) -> bool:
        """Tell whether another server may answer the same request."""
        return self.status >= HTTP_SERVER_ERROR
