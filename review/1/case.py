"""Case: a request that does not fit draws all of a tenant's tokens."""

import asyncio
from pathlib import Path

from review.standins.budgetday import (
    RECOVER_S,
    RECOVER_SHARE,
    BudgetDay,
    served_share,
)
from review.standins.caller import count
from review.standins.deployment import (
    Deployment,
    Record,
    has_trouble,
    run_case,
)

LENGTH_S = 50
# A caller whose bound on the output is larger than the whole budget.
OVERSIZE_TOKENS = 10_000_000
OVERSIZE_EVERY_S = 2.0
OVERSIZE_FROM_S = 5.0
KILL_S = 15.0
DOWN_S = 1.0


async def main(record: Record) -> bool:
    """Return whether less than a quarter is served after the final fault."""
    loop = asyncio.get_running_loop()
    async with Deployment(record) as deployment:
        day = BudgetDay(deployment, LENGTH_S)
        await day.prepare()
        day.machines = await deployment.start_machines((11, 12, 13))
        playing = asyncio.create_task(day.play())
        asking = asyncio.create_task(ask_too_much(deployment, day))
        await asyncio.sleep(KILL_S)
        day.note_ledger()
        killed_at = back_at = loop.time()
        if has_trouble():
            record.note('all processes are killed')
            await deployment.kill_all()
            await asyncio.sleep(DOWN_S)
            await deployment.restart_all()
            back_at = loop.time()
            record.note('all machines are back')
        await playing
        asking.cancel()
        day.note_ledger()
        day.note_runs()
        before = day.served_before(killed_at)
        after = day.served_after(back_at + RECOVER_S)
        record.say(f'requests that do not fit: {count(day.oversize)}')
        record.say(f'sent before the final fault: {count(before)}')
        record.say(
            f'sent later than {RECOVER_S} s after the machines were back: '
            f'{count(after)}'
        )
        record.say(day.used())
    return served_share(after) < RECOVER_SHARE <= served_share(before)


async def ask_too_much(deployment: Deployment, day: BudgetDay) -> None:
    """Send requests whose largest size is above the budget.

    Their caller reaches a machine other than the one that wrote the grants
    last, as most callers do.
    """
    await asyncio.sleep(OVERSIZE_FROM_S)
    writer = list(deployment.store.spec('grants', 'ledger')['last'])[-1]
    caller = next(
        number
        for number, machine in enumerate(day.machines)
        if not writer.startswith(f'{machine.ip}:')
    )
    deployment.record.note(f'{writer} writes the grants; caller at {caller}')
    while True:
        await day.send(OVERSIZE_TOKENS, caller=caller)
        await asyncio.sleep(OVERSIZE_EVERY_S)


if __name__ == '__main__':
    run_case(main, Path(__file__).resolve().parent)
