"""Errors of calls to backend servers."""

from oriolegauge.core.errors import ServerFailedError
from oriolegauge.core.runstate import RunState


class ServerConnectError(ServerFailedError):
    """Report a connection that failed before any byte was sent."""

    run_state = RunState.NOT_RUN


class ServerCutError(ServerFailedError):
    """Report a connection lost after the request was sent."""

    run_state = RunState.UNKNOWN


class ServerRejectedError(ServerFailedError):
    """Report an error status of the backend server."""

    run_state = RunState.RAN

    def __init__(self, message: str, *, status: int, body: bytes = b'') -> None:
        """Keep the HTTP status and body for the caller."""
        super().__init__(message)
        self.status = status
        self.body = body
