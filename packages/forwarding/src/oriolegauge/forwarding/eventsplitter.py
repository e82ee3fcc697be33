"""Events of a `text/event-stream` body."""

import re
from dataclasses import dataclass

_END_OF_EVENT = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
_FIELDS = re.compile(rb'(?:^|[\r\n])(?:id|data|event):')


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
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the bytes complete."""
        self._rest += data
        events = []
        while found := _END_OF_EVENT.search(self._rest):
            whole = self._rest[: found.end()]
            self._rest = self._rest[found.end() :]
            named = _ID.search(whole)
            events.append(
                Event(
                    data=whole,
                    event_id=named.group(1).decode('latin-1').strip()
                    if named
                    else None,
                    is_message=_FIELDS.search(whole) is not None,
                )
            )
        return events
