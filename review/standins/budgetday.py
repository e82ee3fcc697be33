"""Traffic of one tenant with a prepaid budget, and what was served of it."""

import asyncio
from collections.abc import Sequence

from .caller import Outcome, call
from .deployment import HOST, Deployment, Machine, route, service
from .replica import Replica, Run

KEY = 'k-workshop'
TENANT = 'workshop'
PROMPT_TOKENS = 800
OUTPUT_TOKENS = 40
REQUEST_TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
REQUESTS_PER_S = 15
# Prepaid tokens, as a multiple of what all requests of the run need at most.
PREPAID_X = 1.3
# Bound of the rule RECOVER, and `recoverS` of the settings.
RECOVER_SHARE = 0.25
RECOVER_S = 12.0


class BudgetDay:
    """Send requests of one tenant at a fixed rate to the running machines."""

    def __init__(self, deployment: Deployment, length_s: float) -> None:
        self.outcomes: list[Outcome] = []
        self.oversize: list[Outcome] = []
        self.machines: Sequence[Machine] = ()
        self.runs: list[Run] = []
        self.prepaid = int(
            length_s * REQUESTS_PER_S * REQUEST_TOKENS * PREPAID_X
        )
        self._length_s = length_s
        self._deployment = deployment
        self._sent = 0

    async def prepare(self) -> None:
        """Start the model servers and write the configuration."""
        deployment = self._deployment
        for number in range(3):
            replica = Replica(
                f'i-usta-{number}', 'usta-model', deployment.store, self.runs
            )
            await replica.start(f'{deployment.network}.{200 + number}')
            deployment.close_at_end(replica)
        deployment.configure(
            [
                route(
                    'stream',
                    'streaming',
                    'usta-model',
                    sticky=True,
                    canResume=False,
                    gapGoalMs=300,
                    maxAttempts=1,
                    goalMs=400,
                )
            ],
            [service('usta-model')],
            [{'name': TENANT, 'apiKeys': [KEY], 'prepaid': self.prepaid}],
        )

    async def play(self) -> None:
        """Send requests for the length of the day."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.TaskGroup() as group:
            while loop.time() - began_at < self._length_s:
                group.create_task(self.send(OUTPUT_TOKENS))
                next_at = began_at + self._sent / REQUESTS_PER_S
                await asyncio.sleep(max(0, next_at - loop.time()))

    async def send(
        self, output_tokens: int, *, caller: int | None = None
    ) -> None:
        """Send a request with the bound on its output.

        All requests of one `caller` reach the same machine.
        """
        number = self._sent
        self._sent += 1
        if not self.machines:
            return
        place = number if caller is None else caller
        machine = self.machines[place % len(self.machines)]
        bounds = f'{PROMPT_TOKENS},{output_tokens}'
        parts = f'5c1e07a2:198,{number:08x}:602'
        one = await call(
            machine.front,
            '/stream/chat',
            host=HOST,
            key=KEY,
            body=b'x' * 200,
            headers=(
                ('X-Oriolegauge-Model', 'm'),
                ('X-Oriolegauge-Token-Usage', bounds),
                ('X-Oriolegauge-Prompt-Prefix', parts),
            ),
        )
        is_oversize = output_tokens != OUTPUT_TOKENS
        (self.oversize if is_oversize else self.outcomes).append(one)
        detail = one.detail
        if one.status != 200:
            detail = f'{detail} {one.body.decode("latin-1")[:160]}'
        self._deployment.record.note(
            f'{one.attempt} to {one.machine} for {bounds}: '
            f'{one.status} {detail}'
        )

    def served_before(self, at: float) -> list[Outcome]:
        """Return the requests sent before the loop time."""
        return [one for one in self.outcomes if one.sent_at < at]

    def served_after(self, at: float) -> list[Outcome]:
        """Return the requests sent after the loop time."""
        return [one for one in self.outcomes if one.sent_at > at]

    def used(self) -> str:
        """Tell the tokens that all requests that ran can have used."""
        used = len({run.attempt for run in self.runs}) * REQUEST_TOKENS
        share = 100 * used / self.prepaid
        return (
            f'at most {used} of {self.prepaid} prepaid tokens were used '
            f'({share:.0f}%)'
        )

    def note_runs(self) -> None:
        """Record which server ran which attempt."""
        for run in self.runs:
            self._deployment.record.note(f'run {run.attempt} at {run.server}')

    def note_ledger(self) -> None:
        """Record what the system has written on the tenant's tokens."""
        ledger = self._deployment.store.spec('grants', 'ledger') or {}
        charged, settled = ledger.get('teams', {}).get(TENANT, (0, 0))
        reserved = {
            host: row['parts'].get(TENANT, [0])[0]
            for host, row in ledger.get('reserves', {}).items()
        }
        self._deployment.record.note(
            f'ledger: prepaid {self.prepaid}, charged {charged}, '
            f'settled {settled}, in reserves {reserved}'
        )


def served_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share that was answered with success."""
    served = sum(one.status == 200 for one in outcomes)
    return served / max(1, len(outcomes))
