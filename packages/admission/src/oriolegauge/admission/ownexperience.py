"""What this daemon's own requests tell of a service.

Takes the place of the shared loads where these are missing, or contradict the
answers that callers get.
"""

from dataclasses import dataclass

# Samples lose half of their weight in this time, which is several answers of a
# loaded daemon and short beside a peak.
HALF_LIFE_S = 1.0
# That of the samples which refute loads: if nearly all requests are refused, a
# daemon has less than one answer a second.
CALM_HALF_LIFE_S = 5.0
# Fewer samples tell nothing.
MIN_SAMPLES = 3.0
# Answers within this share of their objective did not wait for a slot long.
PROMPT_SHARE = 0.5
# Below this share of late or rejected requests the service is not short.
CALM_SHARE = 0.1
# Without loads the admitted share falls by a step in each period in which more
# requests are rejected, and rises slowly else. A period is about the time after
# which fewer sends show in the rejections.
STEP_S = 0.25
CUT_STEP = 0.1
RISE_STEP = 0.03
# Without loads no class is refused or admitted as a whole.
MIN_ADMITTED = 0.1
MAX_ADMITTED = 0.9


@dataclass(slots=True)
class _Count:
    half_life_s: float
    prompt: float = 0
    late: float = 0
    rejected: float = 0
    at: float = 0

    def add(self, now: float, *, late: bool, rejected: bool) -> None:
        self.fade(now)
        self.late += late
        self.rejected += rejected
        self.prompt += not (late or rejected)

    def fade(self, now: float) -> None:
        left = 0.5 ** (max(0, now - self.at) / self.half_life_s)
        self.prompt *= left
        self.late *= left
        self.rejected *= left
        self.at = max(now, self.at)


class OwnExperience:
    """Weigh recent answers and rejections of the servers of one service."""

    def __init__(self) -> None:
        """Start without samples."""
        self._count = _Count(HALF_LIFE_S)
        self._lasting = _Count(CALM_HALF_LIFE_S)
        self._cut: float = 0
        self._cut_at: float = 0

    def answered(self, now: float, objective_share: float) -> None:
        """Record a first answer after that share of its objective."""
        self._count.add(now, late=objective_share > 1, rejected=False)
        is_slow = objective_share > PROMPT_SHARE
        self._lasting.add(now, late=is_slow, rejected=False)

    def rejected(self, now: float) -> None:
        """Record that a full server rejected a request."""
        for count in (self._count, self._lasting):
            count.add(now, late=False, rejected=True)

    def is_calm(self, now: float) -> bool:
        """State whether enough answers came, and hardly any was late."""
        count = self._lasting
        count.fade(now)
        bad = count.late + count.rejected
        enough = count.prompt >= MIN_SAMPLES
        return enough and bad <= CALM_SHARE * (count.prompt + bad)

    def admitted_share(self, rank: int, ranks: int, now: float) -> float:
        """Return the share of a class to admit without loads.

        Only rejections prove that slots are short; late answers count beside
        them.
        """
        if now - self._cut_at >= STEP_S:
            self._cut_at = now
            self._adapt_cut()
        if not self._cut:
            return 1
        # The mean over the classes is the cut.
        excess = self._cut * 2 * (rank + 1) / (ranks + 1)
        return min(MAX_ADMITTED, max(MIN_ADMITTED, 1 - excess))

    def _adapt_cut(self) -> None:
        count = self._count
        count.fade(self._cut_at)
        bad = count.late + count.rejected
        samples = count.prompt + bad
        is_short = count.rejected > CALM_SHARE * samples
        if samples >= MIN_SAMPLES and is_short:
            self._cut = min(1, self._cut + CUT_STEP)
        else:
            self._cut = max(0, self._cut - RISE_STEP)
