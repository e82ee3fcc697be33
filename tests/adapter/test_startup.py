"""Signals sent to a daemon while it starts."""

import asyncio
import signal
from pathlib import Path

from .soakfleet import SoakFleet

SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def blocked_signals(pid):
    """Return the mask of signals that the process blocks."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, mask = line.partition(':')
        if name == 'SigBlk':
            return int(mask, 16)
    return 0


async def wait_for_blocked_sighup(process):
    """Wait until `platform/daemon.py` has blocked SIGHUP.

    Before that the interpreter is starting, which takes longer on a busy host,
    and SIGHUP would still end the process.
    """
    async with asyncio.timeout(10):
        while not blocked_signals(process.pid) & SIGHUP_BIT:
            await asyncio.sleep(0.005)


class TestStartup:
    async def test_sighup_during_startup_does_not_end_the_daemon(
        self, tmp_path
    ):
        """Guards against SIGHUP ending a daemon before it handles the signal.

        Seen in the soak, seed 47 and probably seed 15: a daemon that had just
        been restarted ended without a line in its log.
        """
        async with SoakFleet(tmp_path, size=1, prepaid=1_000) as fleet:
            await wait_for_blocked_sighup(fleet.processes[0])
            for _ in range(20):
                fleet.signal(0, signal.SIGHUP)
                await asyncio.sleep(0.02)
            assert fleet.processes[0].returncode is None
            await fleet.wait_ready(0)
            log = (tmp_path / 'daemon-0.log').read_text()
            assert '"event": "reload"' in log
