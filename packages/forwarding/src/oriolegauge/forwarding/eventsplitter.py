"""Parser that splits a `text/event-stream` body into events."""

import re
from dataclasses import dataclass

_END_OF_EVENT = re.compile(rb'\r\n\r\n|\n\n|\r\r')
# Longest separator between events; two reads may divide it.
_END_BYTES = 4
_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
_FIELDS = re.compile(rb'(?:^|[\r\n])(?:id|data|event):')
_COMMENT = b':'
# Servers send comments as keep-alives. More in a row without an event are a
# fault of the server.
MAX_COMMENTS_IN_A_ROW = 200


@dataclass(frozen=True, slots=True)
class Event:
    """Hold the bytes of a complete event or comment, and its id if any.

    `is_message` is false for a comment.
    """

    data: bytes
    event_id: str | None
    is_message: bool


class EventSplitter:
    """Split a stream of bytes into complete events."""

    def __init__(self) -> None:
        """Start at the beginning of an event."""
        self._buffer = bytearray()
        self._searched = 0
        self._comments = 0

    @property
    def has_too_many_comments(self) -> bool:
        """State whether the limit of comments in a row was passed.

        The bytes after it are not split any more.
        """
        return self._comments > MAX_COMMENTS_IN_A_ROW

    @property
    def incomplete_event(self) -> bytes:
        """Return the bytes of an event that is not complete yet."""
        return bytes(self._buffer)

    @property
    def incomplete_event_bytes(self) -> int:
        """Return the number of bytes of an event that is not complete yet."""
        return len(self._buffer)

    @property
    def is_in_comment(self) -> bool:
        """State whether the incomplete event is a comment."""
        return self._buffer.startswith(_COMMENT)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the bytes complete."""
        self._buffer += data
        events = []
        began = 0
        # Only the last bytes, which may begin a separator, are searched again.
        search_from = max(0, self._searched - _END_BYTES + 1)
        while found := _END_OF_EVENT.search(self._buffer, search_from):
            event = _event(bytes(self._buffer[began : found.end()]))
            began = search_from = found.end()
            events.append(event)
            self._comments = 0 if event.is_message else self._comments + 1
            if self.has_too_many_comments:
                break
        del self._buffer[:began]
        self._searched = len(self._buffer)
        return events


def _event(whole: bytes) -> Event:
    named = _ID.search(whole)
    return Event(
        data=whole,
        event_id=named.group(1).decode('latin-1').strip() if named else None,
        is_message=_FIELDS.search(whole) is not None,
    )
