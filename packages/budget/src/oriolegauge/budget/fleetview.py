"""Live daemons, as needed to divide a budget between them.

The hub of a budget is the daemon that rendezvous hashing picks to hold the
remaining tokens when the budget is scarce.
"""

from typing import Protocol


class FleetView(Protocol):
    """Report the number of live daemons and the hub of each budget."""

    def daemon_count(self) -> int:
        """Return the number of live daemons, including this one."""

    def is_hub(self, budget: str) -> bool:
        """Return whether this daemon is the hub of the budget."""
