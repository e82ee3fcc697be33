"""Interface to the owner of the versions at which streams begin and go on."""

from typing import Protocol


class StreamVersions(Protocol):
    """Tell which software version of a service's servers a stream needs.

    An attempt is the id of the caller's request that brought the first event.
    """

    async def place(self, service: str, attempt: str) -> str | None:
        """Return the version at which a new stream begins, None for any."""

    async def origin(self, service: str, attempt: str | None) -> str:
        """Return the version that began the stream of a caller's attempt.

        Raise NoServerError if it is not known for sure. Without an attempt, it
        is known only if there is a single one.
        """

    def service_of(self, attempt: str) -> str | None:
        """Return the service that began the stream, None if not remembered."""

    def note_begun(self, service: str, attempt: str, version: str) -> None:
        """Note that a caller gets the first event of a stream from here."""

    def note_whole(self, attempt: str) -> None:
        """Note that a caller has the whole stream."""
