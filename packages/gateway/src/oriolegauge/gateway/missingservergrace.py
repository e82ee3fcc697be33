"""Grace period for servers that are missing from the list in the store.

During an outage of the store, entries of running servers may expire. They are
registered again within 2 s after the store recovers.
"""

from collections.abc import Iterable
from typing import Protocol

GRACE_AFTER_OUTAGE_S = 2.2
# For a daemon that can't reach the store and got the list from a peer. The
# store may be unreachable for this daemon only, and a removed server must get
# no more requests 2 s after its removal from the store, so this grace is
# shorter.
GRACE_DURING_OUTAGE_S = 1.2


class StoreContact(Protocol):
    """Loop times of the last failure and recovery of the store."""

    @property
    def failed_at(self) -> float:
        """Return the time of the last call without an answer."""

    @property
    def regained_at(self) -> float:
        """Return the time of the first answer after the last failure."""


def missing_kept_until(contacts: Iterable[StoreContact], now: float) -> float:
    """Return the loop time until which missing servers are kept."""
    all_contacts = list(contacts)
    failed_at = max(contact.failed_at for contact in all_contacts)
    regained = [
        contact.regained_at
        for contact in all_contacts
        if contact.regained_at > failed_at
    ]
    if regained:
        return min(regained) + GRACE_AFTER_OUTAGE_S
    return now + GRACE_DURING_OUTAGE_S
