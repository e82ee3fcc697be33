"""Header of a backend server's reply."""

from collections.abc import Sequence
from dataclasses import dataclass

HTTP_OK_FROM = 200
HTTP_OK_TO = 300


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerReply:
    """Hold the status and headers of a reply.

    `ends_with_connection` is true if the reply states no length and is not
    chunked, so that its body ends when the server closes the connection.
    """

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    ends_with_connection: bool = False

    @property
    def is_success(self) -> bool:
        """State whether the status is 2xx."""
        return HTTP_OK_FROM <= self.status < HTTP_OK_TO

    def header(self, name: str) -> str:
        """Return the first value of the header, or an empty string."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode('latin-1').strip()
        return ''
