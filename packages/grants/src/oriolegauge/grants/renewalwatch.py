"""Hosts whose reserves are renewed, and hosts that are not heard of."""

import math
from collections.abc import Iterable

# Without a renewal for this time a host gets no share of the reserves.
RENEWAL_EXPIRY_S = 2.0


class RenewalWatch:
    """Note renewals, all of which reach this daemon while it is allocator."""

    def __init__(self) -> None:
        """Start without a renewal; times are in seconds of one clock."""
        self._renewed_at: dict[str, float] = {}
        self._last_at = -math.inf
        self._listening_since = math.inf

    def note(self, host: str, now: float) -> None:
        """Note a renewal of the host."""
        if now - self._last_at >= RENEWAL_EXPIRY_S:
            self._listening_since = now
        self._last_at = now
        self._renewed_at[host] = now

    def is_renewing(self, host: str, now: float) -> bool:
        """State whether the host has renewed its reserve lately."""
        renewed_at = self._renewed_at.get(host, -math.inf)
        return now - renewed_at < RENEWAL_EXPIRY_S

    def renewing(self, now: float) -> int:
        """Return how many hosts have renewed their reserves lately."""
        return sum(self.is_renewing(host, now) for host in self._renewed_at)

    def silent(self, hosts: Iterable[str], now: float) -> set[str]:
        """Return those of the hosts that may never renew again.

        A daemon that has just become the allocator, or that gets no renewals,
        knows of none.
        """
        is_listening = now - self._last_at < RENEWAL_EXPIRY_S
        if not is_listening or now - self._listening_since < RENEWAL_EXPIRY_S:
            return set()
        return {host for host in hosts if not self.is_renewing(host, now)}
