"""Count of the bytes that pass the network link of this host."""

from typing import Protocol


class Traffic(Protocol):
    """Count the bytes of callers' and servers' connections."""

    @property
    def is_loaded(self) -> bool:
        """State whether a new connection may wait for this host's link."""

    def received(self, size: int) -> None:
        """Add bytes that were read from a caller."""

    def received_answer(self, size: int) -> None:
        """Add bytes that were read from a backend server."""

    def sent(self, size: int) -> None:
        """Add bytes that are written to a server or caller."""


class _Uncounted:
    is_loaded = False

    def received(self, size: int) -> None:
        """Ignore the bytes."""

    def received_answer(self, size: int) -> None:
        """Ignore the bytes."""

    def sent(self, size: int) -> None:
        """Ignore the bytes."""


UNCOUNTED: Traffic = _Uncounted()
