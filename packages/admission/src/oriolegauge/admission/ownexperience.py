"""What this daemon's own requests tell of a service.

Takes the place of the shared loads where these are missing, or contradict the
answers that callers get.
"""

from dataclasses import dataclass

# Samples lose half of their weight in this time, which is several answers of a
# loaded daemon and short beside a peak.
HALF_LIFE_S = 1.0
# Fewer samples tell nothing.
MIN_SAMPLES = 3.0
# Below this share of late or rejected requests the service is not short.
CALM_SHARE = 0.1
# Without loads no class is refused or admitted as a whole.
MIN_ADMITTED = 0.1
MAX_ADMITTED = 0.9


@dataclass(slots=True)
class _Count:
    prompt: float = 0
    late: float = 0
    rejected: float = 0
    at: float = 0


class OwnExperience:
    """Weigh recent answers and rejections of the servers of one service."""

    def __init__(self) -> None:
        """Start without samples."""
        self._count = _Count()

    def answered(self, now: float, *, on_time: bool) -> None:
        """Record a first answer."""
        self._fade(now)
        if on_time:
            self._count.prompt += 1
        else:
            self._count.late += 1

    def rejected(self, now: float) -> None:
        """Record that a full server rejected a request."""
        self._fade(now)
        self._count.rejected += 1

    def is_calm(self, now: float) -> bool:
        """State whether enough answers came, and hardly any was late."""
        self._fade(now)
        count = self._count
        bad = count.late + count.rejected
        enough = count.prompt >= MIN_SAMPLES
        return enough and bad <= CALM_SHARE * (count.prompt + bad)

    def admitted_share(self, rank: int, ranks: int, now: float) -> float:
        """Return the share of a class to admit without loads.

        Only rejections prove that slots are short; late answers count beside
        them.
        """
        self._fade(now)
        count = self._count
        bad = count.late + count.rejected
        samples = count.prompt + bad
        if samples < MIN_SAMPLES or count.rejected <= CALM_SHARE * samples:
            return 1
        # The mean over the classes is the share that was served well.
        excess = (bad / samples) * 2 * (rank + 1) / (ranks + 1)
        return min(MAX_ADMITTED, max(MIN_ADMITTED, 1 - excess))

    def _fade(self, now: float) -> None:
        count = self._count
        fade = 0.5 ** (max(0, now - count.at) / HALF_LIFE_S)
        count.prompt *= fade
        count.late *= fade
        count.rejected *= fade
        count.at = max(now, count.at)
