"""Memory of which software version of a server began a stream."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# A caller takes up a stream soon or not at all.
RETENTION_S = 300.0
# Bounds the memory; the oldest entries go first.
MAX_ORIGINS = 50_000


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """Name the version of a service's servers that began a stream.

    `at` is the clock's time in seconds at which it was last known to go on.
    """

    service: str
    version: str
    at: float


class StreamOrigins:
    """Hold the origins of streams that their callers may still take up."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start empty.

        `clock` must also count the time in which the process is suspended.
        """
        self._clock = clock
        # In the order of the times at which they were last noted.
        self._origins: dict[str, StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def note(
        self, attempt: str, service: str, version: str, *, age_s: float = 0
    ) -> None:
        """Record which version began the stream of a caller's attempt."""
        at = self._clock() - age_s
        known = self._origins.pop(attempt, None)
        if known:
            at = max(at, known.at)
        self._origins[attempt] = StreamOrigin(
            service=service, version=version, at=at
        )
        self._drop_old()

    def forget(self, attempt: str) -> None:
        """Drop a stream that its caller has received whole."""
        self._origins.pop(attempt, None)

    def origin(self, attempt: str) -> StreamOrigin | None:
        """Return the origin of the stream, None if it is not known."""
        return self._origins.get(attempt)

    def younger_than(self, age_s: float) -> Iterable[tuple[str, StreamOrigin]]:
        """Return the streams noted within the time, with their origins."""
        oldest = self._clock() - age_s
        return [
            (attempt, origin)
            for attempt, origin in self._origins.items()
            if origin.at > oldest
        ]

    def _drop_old(self) -> None:
        oldest = self._clock() - RETENTION_S
        while self._origins:
            attempt = next(iter(self._origins))
            is_kept = (
                len(self._origins) <= MAX_ORIGINS
                and self._origins[attempt].at > oldest
            )
            if is_kept:
                return
            del self._origins[attempt]
