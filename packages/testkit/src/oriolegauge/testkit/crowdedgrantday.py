"""Load of 24 workspaces on a simulated fleet of 64 hosts.

Long prompts and chats come at a quarter of the rates of deployment B in
`docs/design/scarce-and-uneven-capacity.md`, with budgets to match.
"""

import asyncio
import math
import random
from collections import Counter
from dataclasses import dataclass

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.grants import PrepaidExhaustedError
from oriolegauge.testkit.linkedgrantfleet import LinkedFleet, SilentStore

SIZE = 64
TEAMS = 24
RATE_SHARE = 0.25
# Store outage and loss of power at the end of the sequence.
SILENT_S = 2.8
POWERLESS_S = 1.4
SLOWEST_START_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestSort:
    """Describe requests of one sort: their rate, tokens and times."""

    per_s: float
    most: int
    used: int
    seconds: float
    timeout_s: float


LONG_PROMPTS = RequestSort(122 * RATE_SHARE, 9_300, 9_250, 1.5, 5.1)
CHATS = RequestSort(138 * RATE_SHARE, 1_150, 1_100, 2.5, 15.6)
TOKENS_PER_S = sum(sort.per_s * sort.used for sort in (LONG_PROMPTS, CHATS))


@dataclass(frozen=True, slots=True)
class Outcome:
    """Tell when a request was sent and what came of it after `waited_s`."""

    sent_at: float
    team: str
    result: str
    waited_s: float


class CrowdedDay:
    """Send requests of workspaces with a Zipf-like share to random hosts."""

    def __init__(self, *, seconds: float, budget: float, seed: int = 1) -> None:
        """Prepay `budget` times the tokens of a day of `seconds`."""
        self.rng = random.Random(seed)
        weights = [1 / number for number in range(1, TEAMS + 1)]
        self._weights = {
            f't{number}': weight / sum(weights)
            for number, weight in enumerate(weights)
        }
        prepaid = budget * seconds * TOKENS_PER_S
        self.store = SilentStore(random.Random(seed))
        self.fleet = LinkedFleet(
            store=self.store,
            budgets={
                team: int(prepaid * weight)
                for team, weight in self._weights.items()
            },
            size=SIZE,
        )
        self.outcomes: list[Outcome] = []
        self._loop = asyncio.get_running_loop()

    async def play(self, faults, *, after_s: float) -> None:
        """Send requests during `faults(day)` and for `after_s` afterwards."""
        self.fleet.run()
        async with asyncio.TaskGroup() as group:
            sending = [
                group.create_task(self._send_all(sort, group))
                for sort in (LONG_PROMPTS, CHATS)
            ]
            await faults(self)
            await asyncio.sleep(after_s)
            for task in sending:
                task.cancel()
        self.fleet.stop(*self.fleet.names)

    async def cut_a_third(self, cut_s: float = 8.0) -> None:
        """Cut the links of a third of the hosts, in three groups."""
        hosts = self.rng.sample(self.fleet.names, SIZE // 3)
        for number in range(3):
            group = hosts[number::3]
            self.fleet.cut(*group)
            await asyncio.sleep(cut_s)
            self.fleet.mend(*group)

    async def lose_power(self, silent_after_s: float = 0.0) -> None:
        """Silence the store, then end all hosts; it stays silent for a time.

        Return once all hosts have started and the store answers.
        """
        self.store.is_silent = True
        await asyncio.sleep(SILENT_S)
        self._loop.call_later(silent_after_s, self._answer_again)
        await self.fleet.lose_power(
            POWERLESS_S, slowest_start_s=SLOWEST_START_S
        )
        while self.store.is_silent:
            await asyncio.sleep(0.1)

    def _answer_again(self) -> None:
        self.store.is_silent = False

    def total(self) -> Counter[str]:
        """Return where all the tokens are, as shares of the prepaid ones."""
        places: Counter[str] = Counter()
        for team_places in self.fleet.whereabouts().values():
            places += team_places
        prepaid = sum(self.fleet.budgets.values())
        return Counter(
            {place: tokens / prepaid for place, tokens in places.items()}
        )

    def results(
        self, since: float = 0, until: float = math.inf
    ) -> Counter[str]:
        """Count the results of the requests sent between two loop times."""
        return Counter(
            outcome.result
            for outcome in self.outcomes
            if since <= outcome.sent_at < until
        )

    def waits_s(self, since: float = 0) -> list[float]:
        """Return how long refused requests had waited, shortest first."""
        return sorted(
            outcome.waited_s
            for outcome in self.outcomes
            if outcome.result == 'refused' and outcome.sent_at >= since
        )

    async def _send_all(
        self, sort: RequestSort, group: asyncio.TaskGroup
    ) -> None:
        teams, weights = list(self._weights), list(self._weights.values())
        while True:
            (team,) = self.rng.choices(teams, weights)
            group.create_task(self._send(sort, team))
            await asyncio.sleep(self.rng.expovariate(sort.per_s))

    async def _send(self, sort: RequestSort, team: str) -> None:
        hosts = [n for n in self.fleet.names if n in self.fleet.holders]
        if not hosts:
            return
        sent_at = self._loop.time()
        result = 'served'
        try:
            await self.fleet.request(
                self.rng.choice(hosts),
                team,
                sort.most,
                sort.used,
                seconds=sort.seconds,
                timeout_s=sort.timeout_s,
            )
        except PrepaidExhaustedError:
            result = 'exhausted'
        except OriolegaugeError as error:
            result = 'refused' if error.retry_after_s else 'died'
        waited_s = self._loop.time() - sent_at
        self.outcomes.append(Outcome(sent_at, team, result, waited_s))
