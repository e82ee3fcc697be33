"""Case: tokens in the reserves of machines removed for good are lost."""

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

LENGTH_S = 64
# When all machines are lost; the last time is the final fault.
LOSSES_S = (10, 20, 30)
MACHINES = 3


async def main(record: Record) -> bool:
    """Return whether less than a quarter is served after the final fault."""
    loop = asyncio.get_running_loop()
    async with Deployment(record) as deployment:
        day = BudgetDay(deployment, LENGTH_S)
        await day.prepare()
        day.machines = await deployment.start_machines(addresses(1))
        playing = asyncio.create_task(day.play())
        lost_at = back_at = began_at = loop.time()
        for generation, loss_s in enumerate(LOSSES_S, 2):
            await asyncio.sleep(began_at + loss_s - loop.time())
            day.note_ledger()
            lost_at = loop.time()
            day.machines = ()
            if has_trouble():
                record.note('all machines are lost and replaced by others')
                await deployment.remove_all()
                day.machines = await deployment.start_machines(
                    addresses(generation), bootstrap=False
                )
            else:
                record.note('all machines are killed and start again')
                await deployment.kill_all()
                day.machines = await deployment.restart_all()
            back_at = loop.time()
        await playing
        day.note_ledger()
        day.note_runs()
        before = day.served_before(lost_at)
        after = day.served_after(back_at + RECOVER_S)
        record.say(f'sent before the final fault: {count(before)}')
        record.say(
            f'sent later than {RECOVER_S} s after the machines were back: '
            f'{count(after)}'
        )
        record.say(day.used())
    return served_share(after) < RECOVER_SHARE <= served_share(before)


def addresses(generation: int) -> range:
    """Return the last numbers of the machines' addresses."""
    first = 10 * generation + 1
    return range(first, first + MACHINES)


if __name__ == '__main__':
    run_case(main, Path(__file__).resolve().parent)
