"""Clocks of a Linux host."""

import time
from pathlib import Path

from oriolegauge.grants import HostTimes

_BOOT_ID = Path('/proc/sys/kernel/random/boot_id')


class LinuxClocks:
    """Read the clock that counts freezes and the time of day."""

    def __init__(self, *, boot_s: float, wall_s: float) -> None:
        """Take what both showed when the process began."""
        self._boot_id = _boot_id()
        self._started = HostTimes(self._boot_id, boot_s, wall_s)

    @property
    def started(self) -> HostTimes:
        """Return what they showed when the process began."""
        return self._started

    def now(self) -> HostTimes:
        """Return what they show."""
        return HostTimes(
            boot_id=self._boot_id,
            boot_s=time.clock_gettime(time.CLOCK_BOOTTIME),
            wall_s=time.time(),
        )


def _boot_id() -> str:
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        # Without a name no two processes are taken for ones of the same boot.
        return ''
