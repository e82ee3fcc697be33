"""Shares of the daemons in the limits of servers, lent to one of them.

Each daemon owns an equal share. It lends it for a limited time to the daemon
that hands out permits, so that the parts in use never sum up to more than the
limit, whichever daemons lose each other.
"""

import math


class LimitShares:
    """Keep the own share, or lend it, and hold the shares of others.

    `now` is in seconds of a clock that also counts the time in which the
    process is suspended.
    """

    def __init__(self, now: float) -> None:
        """Start at `now`; an earlier process may have lent the share."""
        self._started_at = now
        self._borrower: str | None = None
        self._lent_until = -math.inf
        self._borrowed_until: dict[str, float] = {}

    @property
    def borrower(self) -> str | None:
        """Return the daemon that got the own share last."""
        return self._borrower

    def lend(self, peer: str, *, lease_s: float, now: float) -> bool:
        """Lend the own share to the peer; return whether it is free for it."""
        if not (peer == self._borrower or self._is_here(lease_s, now)):
            return False
        self._borrower = peer
        self._lent_until = now + lease_s
        return True

    def take_back(self, peer: str, now: float) -> None:
        """Take the share back from a peer that hands out no permits."""
        if peer == self._borrower:
            self._lent_until = min(self._lent_until, now)

    def borrow(self, peer: str, until: float) -> None:
        """Hold the share of a peer until then."""
        self._borrowed_until[peer] = until

    def part(self, *, members: int, lease_s: float, now: float) -> float:
        """Return the part of each limit that this daemon may hand out.

        `members` is the number of daemons that own a share.
        """
        self._borrowed_until = {
            peer: until
            for peer, until in self._borrowed_until.items()
            if until > now
        }
        held = len(self._borrowed_until) + self._is_here(lease_s, now)
        return held / max(members, held, 1)

    def _is_here(self, lease_s: float, now: float) -> bool:
        return now >= max(self._lent_until, self._started_at + lease_s)
