"""Whether a stream goes on.

Answers servers that are slow but sound beside servers that stall and send a
byte now and then: events count, and the bytes of a large event, but not
comments or a trickle.
"""

# Bytes of an event that is not whole yet count as progress by this many: a
# server that sends an event more slowly has stalled.
PROGRESS_BYTES = 1024
# Largest event, and the most bytes between two events.
MAX_EVENT_BYTES = 256 * 1024


class StreamProgress:
    """Follow one stream of a server."""

    def __init__(self, now: float) -> None:
        """Start when the request was sent (loop time)."""
        self._progress_at = now
        self._counted = 0
        self._since_event = 0

    @property
    def progress_at(self) -> float:
        """Return the loop time of the last progress."""
        return self._progress_at

    @property
    def is_overlong(self) -> bool:
        """State whether too many bytes came without an event."""
        return self._since_event > MAX_EVENT_BYTES

    def note_bytes(self, received: int, *, in_event: int, now: float) -> None:
        """Count bytes received, `in_event` of them in an unfinished event."""
        self._since_event += received
        if in_event - self._counted >= PROGRESS_BYTES:
            self._counted = in_event
            self._progress_at = now

    def note_event(self, now: float) -> None:
        """Count a whole event."""
        self._progress_at = now
        self._counted = 0
        self._since_event = 0
