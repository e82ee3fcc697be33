"""Request of a caller as it was received."""

from collections.abc import Sequence
from dataclasses import dataclass

from oriolegauge.core.bytebudget import ByteLease

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Hold a complete request.

    `received_at` is the loop time in seconds of its first byte. `buffer_lease`
    holds the bytes of the body until the request is answered.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    wants_close: bool = False
    buffer_lease: ByteLease | None = None

    @property
    def is_head(self) -> bool:
        """State whether only the header of the answer is wanted."""
        return self.method == b'HEAD'

    def release(self) -> None:
        """Free the bytes of the body for other requests."""
        if self.buffer_lease:
            self.buffer_lease.release()

    def header(self, name: str) -> str:
        """Return the first value of the header, or an empty string."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode('latin-1').strip()
        return ''
