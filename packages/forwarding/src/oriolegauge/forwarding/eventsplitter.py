"""Events of a `text/event-stream` body."""

import re
from dataclasses import dataclass

_END_OF_EVENT = re.compile(rb'\r\n\r\n|\n\n|\r\r')
# Bytes of the end of an event that may have come before the rest of it.
_END_BYTES = 4
_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
_FIELDS = re.compile(rb'(?:^|[\r\n])(?:id|data|event):')
_COMMENT = b':'
# Servers send a comment now and then to keep a connection open.
MAX_COMMENTS_IN_A_ROW = 200


@dataclass(frozen=True, slots=True)
class Event:
    """Hold the bytes of a whole event and its id, if it has one."""

    data: bytes
    event_id: str | None
    is_message: bool


class EventSplitter:
    """Cut a stream of bytes into whole events."""

    def __init__(self) -> None:
        """Start at the beginning of an event."""
        self._rest = bytearray()
        self._searched = 0
        self._comments = 0

    @property
    def is_flooded(self) -> bool:
        """State whether comments without end come; no more bytes are cut."""
        return self._comments > MAX_COMMENTS_IN_A_ROW

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole."""
        return bytes(self._rest)

    @property
    def rest_bytes(self) -> int:
        """Return the number of bytes of an event that is not whole."""
        return len(self._rest)

    @property
    def is_in_comment(self) -> bool:
        """State whether the bytes of the unfinished event are a comment."""
        return self._rest.startswith(_COMMENT)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the bytes complete."""
        self._rest += data
        events = []
        began = 0
        # No byte is searched twice, but for those that an end may begin with.
        search_from = max(0, self._searched - _END_BYTES + 1)
        while found := _END_OF_EVENT.search(self._rest, search_from):
            event = _event(bytes(self._rest[began : found.end()]))
            began = search_from = found.end()
            events.append(event)
            self._comments = 0 if event.is_message else self._comments + 1
            if self.is_flooded:
                break
        del self._rest[:began]
        self._searched = len(self._rest)
        return events


def _event(whole: bytes) -> Event:
    named = _ID.search(whole)
    return Event(
        data=whole,
        event_id=named.group(1).decode('latin-1').strip() if named else None,
        is_message=_FIELDS.search(whole) is not None,
    )
