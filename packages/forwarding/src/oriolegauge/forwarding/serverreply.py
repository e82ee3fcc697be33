"""Reply of a backend server."""

from collections.abc import Sequence
from dataclasses import dataclass

HTTP_OK_FROM = 200
HTTP_OK_TO = 300


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerReply:
    """Hold the header of a reply; `ends_with_connection` means no length."""

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
