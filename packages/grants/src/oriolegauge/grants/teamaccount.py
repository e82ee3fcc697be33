"""Tokens of one team that this daemon may spend without asking."""

import math

# Demand is averaged over this time: a small team sends one request in several
# seconds to one daemon.
RATE_TIME_CONSTANT_S = 8.0


class TeamAccount:
    """Count free, reserved and spent tokens of grants held here."""

    def __init__(self, now: float) -> None:
        """Start empty."""
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
        fade = self._fade(now)
        self._rate = self._rate * fade + tokens / RATE_TIME_CONSTANT_S
        self._request_rate = (
            self._request_rate * fade + 1 / RATE_TIME_CONSTANT_S
        )
        self._rate_at = now

    def rate(self, now: float) -> float:
        """Return the recent demand in tokens per second."""
        return self._rate * self._fade(now) / self._covered(now)

    def request_rate(self, now: float) -> float:
        """Return the recent requests per second."""
        return self._request_rate * self._fade(now) / self._covered(now)

    def expected_requests(self, now: float, horizon_s: float) -> float:
        """Return how many requests the recent demand lets expect."""
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

    def report(self) -> int:
        """Return the tokens spent since the last report, to report them."""
        tokens = self._unreported
        self._unreported = 0
        return tokens

    def take_report(self, tokens: int) -> None:
        """Take over tokens that a peer has spent, to report them."""
        self._unreported += tokens

    def _fade(self, now: float) -> float:
        age = max(0, now - self._rate_at)
        return math.exp(-age / RATE_TIME_CONSTANT_S)

    def _covered(self, now: float) -> float:
        """Return the part of the averaging time that has passed."""
        # An average over a shorter time than the constant starts too low. A
        # single request says little about the demand to come.
        age = max(now - self._first_at, RATE_TIME_CONSTANT_S / 2)
        return 1 - math.exp(-age / RATE_TIME_CONSTANT_S)
