"""Clocks of a Linux host."""

import time
from pathlib import Path

from oriolegauge.grants import HostTimes

_BOOT_ID = Path('/proc/sys/kernel/random/boot_id')


class LinuxClocks:
    """Read the boot clock, which includes suspends, and the time of day."""

    def __init__(self, *, boot_s: float, wall_s: float) -> None:
        """Take the readings of both clocks at the start of the process."""
        self._boot_id = _boot_id()
        self._started = HostTimes(self._boot_id, boot_s, wall_s)

    @property
    def started(self) -> HostTimes:
        """Return the readings at the start of the process."""
        return self._started

    def now(self) -> HostTimes:
        """Return the current readings."""
        return HostTimes(
            boot_id=self._boot_id,
            boot_s=time.clock_gettime(time.CLOCK_BOOTTIME),
            wall_s=time.time(),
        )


def _boot_id() -> str:
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        # With an empty id no two processes count as of the same boot.
        return ''
