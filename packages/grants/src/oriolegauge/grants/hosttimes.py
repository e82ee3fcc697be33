"""Clocks of a host at one moment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostTimes:
    """Hold the clocks of a host, read together, in seconds.

    `boot_s` counts from the boot named `boot_id` and goes on in suspension;
    `wall_s` is the wall clock, which may be set.
    """

    boot_id: str
    boot_s: float
    wall_s: float
