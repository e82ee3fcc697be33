"""Runs a case and turns what it found into an exit code."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

Record = Callable[[str], None]
Play = Callable[[Record], Awaitable[list[str]]]

BROKEN = 1
HELD = 0
NO_VERDICT = 2


async def _played(play: Play, record: Record) -> list[str]:
    """Play; SIGTERM cancels it, so that it ends what it has started."""
    task = asyncio.current_task()
    if task:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await play(record)


def judge(folder: Path, rule: str, play: Play) -> int:
    """Return the exit code; `play(record)` returns how the rule was broken."""
    with (folder / 'record.txt').open('w') as out:

        def record(line: str) -> None:
            out.write(f'{line}\n')

        try:
            broken = asyncio.run(_played(play, record))
        except (Exception, asyncio.CancelledError) as error:
            record(f'no verdict: {error!r}')
            return NO_VERDICT
        for line in broken:
            record(f'broken: {line}')
        record(f'{rule} broken' if broken else f'{rule} held')
    return BROKEN if broken else HELD
