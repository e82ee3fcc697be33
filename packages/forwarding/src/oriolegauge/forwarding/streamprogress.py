"""Detection of stalled streams.

Tells slow servers from stalled ones that still send a byte now and then:
complete events and the bytes of a large event count as progress; comments and
single bytes do not.
"""

# An incomplete event counts as progress each time it has grown by this many
# bytes. A server that sends an event more slowly has stalled.
PROGRESS_BYTES = 1024
# Largest event, and most bytes between two events.
MAX_EVENT_BYTES = 256 * 1024


class StreamProgress:
    """Track the progress of one stream of a server."""

    def __init__(self, now: float) -> None:
        """Count the start (loop time) as the first progress."""
        self._progress_at = now
        self._counted_event_bytes = 0
        self._bytes_since_event = 0

    @property
    def progress_at(self) -> float:
        """Return the loop time of the last progress."""
        return self._progress_at

    @property
    def exceeds_event_limit(self) -> bool:
        """State whether too many bytes arrived without a complete event."""
        return self._bytes_since_event > MAX_EVENT_BYTES

    def note_bytes(self, received: int, *, in_event: int, now: float) -> None:
        """Count bytes received, `in_event` of them in an unfinished event."""
        self._bytes_since_event += received
        if in_event - self._counted_event_bytes >= PROGRESS_BYTES:
            self._counted_event_bytes = in_event
            self._progress_at = now

    def note_event(self, now: float) -> None:
        """Count a complete event."""
        self._progress_at = now
        self._counted_event_bytes = 0
        self._bytes_since_event = 0
