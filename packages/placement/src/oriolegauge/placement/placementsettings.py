"""Times of placement."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """Bound leases, commands and reads of the weight store (seconds).

    `command_max_s` bounds the time from sending a command to its end at the
    server. A lease has to outlast one command with some room for renewals.
    """

    lease_s: float = 90.0
    command_max_s: float = 60.0
    margin_s: float = 1.0
    claim_send_s: float = 5.0
    load_interval_s: float = 10.0

    def __post_init__(self) -> None:
        """Reject a lease in which no command fits."""
        shortest_s = self.command_max_s + self.margin_s + self.claim_send_s
        if self.lease_s <= shortest_s:
            raise ValueError(f'lease_s must be above {shortest_s}')

    @property
    def predecessor_wait_s(self) -> float:
        """Return the wait after a predecessor's lease has expired."""
        return self.command_max_s + 1
