"""Time limits of placement leases and commands."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """Limit leases, commands and reads of the weight store (seconds).

    `command_max_s` bounds the time from sending a command to its end at the
    server. A lease must last longer than one command, to leave time to renew.
    """

    lease_s: float = 90.0
    command_max_s: float = 60.0
    margin_s: float = 1.0
    claim_send_s: float = 5.0
    load_interval_s: float = 10.0

    def __post_init__(self) -> None:
        """Raise ValueError if the lease is too short for a command."""
        shortest_s = self.command_max_s + self.margin_s + self.claim_send_s
        if self.lease_s <= shortest_s:
            raise ValueError(f'lease_s must be above {shortest_s}')

    @property
    def predecessor_wait_s(self) -> float:
        """Return the seconds to wait for a predecessor's last command."""
        return self.command_max_s + 1
