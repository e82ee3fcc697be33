"""What shares and hubs depend on: the live daemons."""

from typing import Protocol


class FleetView(Protocol):
    """Tell how many daemons share a budget and who is its hub."""

    def sharers(self) -> int:
        """Return the number of live daemons with the own one."""

    def is_hub(self, budget: str) -> bool:
        """Return whether the own daemon holds what is left when scarce."""
