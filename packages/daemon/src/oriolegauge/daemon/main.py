"""Command line of the daemon."""

import asyncio
import signal
import sys
from pathlib import Path

import aiohttp
import defopt
import structlog

from oriolegauge.config import (
    DaemonSettings,
    SettingsInvalidError,
    load_settings,
)
from oriolegauge.daemon.daemon import Daemon
from oriolegauge.daemon.logs import configure_logs


def oriolegauged(*, settings: Path, check: bool = False) -> int:
    """Run the router daemon.

    :param settings: settings file, JSON with comments
    :param check: check the settings file and exit
    """
    configure_logs()
    try:
        checked = load_settings(settings)
    except SettingsInvalidError as error:
        structlog.get_logger().error('settings invalid', error=error.message)
        return int(error.code)
    if check:
        return 0
    asyncio.run(_run(checked))
    return 0


async def _run(settings: DaemonSettings) -> None:
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        daemon = Daemon(settings, session)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.start_drain)
        await daemon.run()


def run() -> None:
    """Parse the arguments and exit with the result code."""
    sys.exit(defopt.run(oriolegauged, cli_options='all'))


if __name__ == '__main__':
    run()
