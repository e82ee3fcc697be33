"""Start-up code shared by the simulated systems."""

import argparse
import asyncio
import signal

from aiohttp import web


def arguments(name: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all simulated systems share."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--name', default=name)
    return parser


def serve(app: web.Application, host: str, port: int) -> None:
    """Serve the application until SIGTERM or SIGINT."""
    asyncio.run(_serve(app, host, port))


async def _serve(app: web.Application, host: str, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    print(f'listening on {host}:{port}', flush=True)
    await stop.wait()
    await runner.cleanup()
