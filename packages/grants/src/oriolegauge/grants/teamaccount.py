"""Granted tokens of one team that this daemon can spend locally."""

import math

# Time constant of the demand average: of a small team a daemon gets one request
# in several seconds.
RATE_TIME_CONSTANT_S = 8.0


class TeamAccount:
    """Count free and spent tokens of this daemon's grants, and the demand."""

    def __init__(self, now: float) -> None:
        """Start without tokens; times are in seconds of one clock."""
        self._free = 0
        self._unreported = 0
        self._rate: float = 0
        self._request_rate: float = 0
        self._rate_at = now
        self._first_at = now

    @property
    def free(self) -> int:
        """Return the tokens that are granted, unspent and not reserved."""
        return self._free

    @property
    def unreported(self) -> int:
        """Return the tokens spent since the last report."""
        return self._unreported

    def note_demand(self, tokens: int, now: float) -> None:
        """Add a request to the recent demand."""
        decay = self._decay(now)
        self._rate = self._rate * decay + tokens / RATE_TIME_CONSTANT_S
        self._request_rate = (
            self._request_rate * decay + 1 / RATE_TIME_CONSTANT_S
        )
        self._rate_at = now

    def rate(self, now: float) -> float:
        """Return the recent demand in tokens per second."""
        return self._rate * self._decay(now) / self._averaged_share(now)

    def request_rate(self, now: float) -> float:
        """Return the recent requests per second."""
        return self._request_rate * self._decay(now) / self._averaged_share(now)

    def expected_requests(self, now: float, horizon_s: float) -> float:
        """Return the requests expected within the horizon at recent demand."""
        return self.request_rate(now) * horizon_s

    def credit(self, tokens: int) -> None:
        """Add granted tokens."""
        self._free += tokens

    def take_free(self, tokens: int) -> int:
        """Remove up to that many free tokens and return how many."""
        taken = max(0, min(tokens, self._free))
        self._free -= taken
        return taken

    def settle(self, reserved: int, used: int) -> None:
        """Spend a part of a reservation and free the rest."""
        used = min(max(0, used), reserved)
        self._free += reserved - used
        self._unreported += used

    def take_unreported(self) -> int:
        """Return the spent tokens to report and reset their count."""
        tokens = self._unreported
        self._unreported = 0
        return tokens

    def add_unreported(self, tokens: int) -> None:
        """Add spent tokens that are still to be reported."""
        self._unreported += tokens

    def _decay(self, now: float) -> float:
        age = max(0, now - self._rate_at)
        return math.exp(-age / RATE_TIME_CONSTANT_S)

    def _averaged_share(self, now: float) -> float:
        """Return the weight that the average covers so far."""
        # Dividing by it corrects an average over a short time, which is too
        # low. At least half a time constant counts as covered, since a single
        # request says little about the demand to come.
        age = max(now - self._first_at, RATE_TIME_CONSTANT_S / 2)
        return 1 - math.exp(-age / RATE_TIME_CONSTANT_S)
