"""Runs a case and turns what it found into an exit code."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

Record = Callable[[str], None]
Play = Callable[[Record], Awaitable[list[str]]]

BROKEN = 1
HELD = 0
NO_VERDICT = 2


def judge(folder: Path, rule: str, play: Play) -> int:
    """Return the exit code; `play(record)` returns how the rule was broken."""
    with (folder / 'record.txt').open('w') as out:

        def record(line: str) -> None:
            out.write(f'{line}\n')

        try:
            broken = asyncio.run(play(record))
        except Exception as error:  # An unexpected error is no verdict.
            record(f'no verdict: {error!r}')
            return NO_VERDICT
        for line in broken:
            record(f'broken: {line}')
        record(f'{rule} broken' if broken else f'{rule} held')
    return BROKEN if broken else HELD
