"""Clocks of a host at one moment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostTimes:
    """Read the clocks of a host together.

    `boot_s` counts from the boot named `boot_id`, freezes included; `wall_s` is
    the time of day, which may be set.
    """

    boot_id: str
    boot_s: float
    wall_s: float
