"""Simulated daemons that share the limit of one server."""

import asyncio
import random
from bisect import bisect_left, bisect_right

from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.gateway.limitexchange import LimitExchange
from oriolegauge.routing.coldservers import ColdServers, ColdTerms, ServerEntry
from oriolegauge.wire import PeerTimeoutError, PeerUnreachableError

SERVER = ServerInstance('s0', 1)
SERVICE = 'svc'
MESSAGE_S = 0.001
# More than the tolerated multiple of the limit and the allowance in a window
# breaks the promise.
WINDOW_S = 4.0
TOLERATED = 1.5
ALLOWANCE = 5


class SimulatedDaemon:
    """One daemon with its links; a fault changes what it reaches."""

    def __init__(self, fleet, name, per_s, cold_s):
        self.fleet = fleet
        self.name = name
        self.state = 'serving'
        self.is_frozen = False
        self.is_listed = True
        self.side = 0
        self.failed_at = {}
        self.sent = []
        self.clock = asyncio.get_running_loop().time
        self.messages = 0
        self.cold_servers = ColdServers(lambda _: self.exchange.changed())
        self.limits = ServerLimits(
            self.clock, lambda _: None, self.cold_servers
        )
        self.exchange = LimitExchange(
            links=self,
            limits=self.limits,
            rng=random.Random(name),
            clock=self.clock,
        )
        self.task = None
        if cold_s:
            self.cold_servers.set_terms(
                {SERVICE: ColdTerms(cold_s, per_s)}, self.clock()
            )
        elif per_s is not None:
            self.limits.note(SERVER, per_s)

    def list_server(self, age_s, left_s=0):
        """Read the entry of the server."""
        entry = ServerEntry(
            server=SERVER, service=SERVICE, left_s=left_s, age_s=age_s
        )
        self.cold_servers.note_entries([entry], self.clock())

    @property
    def share_holders(self):
        stopping = sum(
            one.state == 'draining' and self.reaches(one)
            for one in self.fleet.daemons.values()
        )
        return len(self.fleet.daemons) - stopping

    @property
    def is_serving(self):
        return self.state == 'serving'

    def reaches(self, other):
        return other.state != 'dead' and other.side == self.side

    def limiter(self):
        now = self.clock()
        for name, other in self.fleet.daemons.items():
            is_paused = now - self.failed_at.get(name, -9) < 3
            if other.is_serving and self.reaches(other) and not is_paused:
                return None if name == self.name else name
        return None

    def note_limiter_failed(self, peer):
        self.failed_at[peer] = self.clock()

    def has_announced_shutdown(self, peer):
        other = self.fleet.daemons[peer]
        return other.state == 'draining' and self.reaches(other)

    async def call(self, peer, message, timeout_s):
        self.messages += 1
        other = self.fleet.daemons[peer]
        if not self.reaches(other):
            raise PeerUnreachableError('no link')
        await self.fleet.wait_thawed(self)
        await asyncio.sleep(MESSAGE_S)
        if other.is_frozen or not self.reaches(other):
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError('no answer')
        answer = other.exchange.answer(self.name, message)
        await asyncio.sleep(MESSAGE_S)
        return answer

    async def send(self):
        """Send a request if there is a permit; return the time to wait."""
        wait_s = await self.exchange.acquire(SERVER)
        await self.fleet.wait_thawed(self)
        if not wait_s and self.state != 'dead':
            self.sent.append(self.clock())
        return wait_s

    def start(self):
        self.task = asyncio.create_task(self.exchange.run())


class SimulatedFleet:
    """Daemons in order of rank, with callers at some of them."""

    def __init__(self, size, per_s, cold_s=0):
        """Without `cold_s` the server names the rate in its replies."""
        self.per_s = per_s
        self.cold_s = cold_s
        self.server_started_at = None
        self.daemons = {}
        self.callers = []
        self.refused_waits = []
        self.earlier = []
        for number in range(size):
            self.add(f'd{number:03}')

    def add(self, name):
        """Start a daemon, or another process in place of an earlier one."""
        earlier = self.daemons.get(name)
        if earlier:
            earlier.task.cancel()
            self.earlier.append(earlier)
        daemon = SimulatedDaemon(self, name, self.per_s, self.cold_s)
        if earlier:
            daemon.side = earlier.side
        self.daemons[name] = daemon
        daemon.start()
        if self.server_started_at is not None:
            daemon.list_server(daemon.clock() - self.server_started_at)

    def start_server(self):
        """Start the server, whose entry each daemon reads at once."""
        self.server_started_at = asyncio.get_running_loop().time()
        for daemon in self.daemons.values():
            daemon.list_server(0)

    async def wait_thawed(self, daemon):
        while daemon.is_frozen:
            await asyncio.sleep(0.05)

    def demand(self, names, per_s):
        """Have requests arrive at each of the daemons."""
        for name in names:
            self.callers.append(asyncio.create_task(self._call(name, per_s)))

    async def _call(self, name, per_s):
        rng = random.Random(name)
        held_until = 0
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            daemon = self.daemons[name]
            if daemon.is_frozen or daemon.state == 'dead':
                continue
            if daemon.clock() >= held_until:
                wait_s = await daemon.send()
                held_until = daemon.clock() + wait_s

    async def stop(self):
        tasks = [*self.callers, *(one.task for one in self.daemons.values())]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def sent(self):
        daemons = [*self.earlier, *self.daemons.values()]
        return sorted(at for one in daemons for at in one.sent)

    def most_in_a_window(self, since=0, window_s=WINDOW_S):
        ordered = [at for at in self.sent if at >= since]
        return max(
            (
                bisect_right(ordered, at + window_s) - bisect_left(ordered, at)
                for at in ordered
            ),
            default=0,
        )

    def rate(self, since, until):
        sent = [at for at in self.sent if since <= at < until]
        return len(sent) / (until - since)


async def inject_faults(fleet, rng, seconds):
    """Inject faults, some of them overlapping."""
    clock = asyncio.get_running_loop().time
    until = clock() + seconds
    while clock() < until:
        await asyncio.sleep(rng.uniform(0.1, 2))
        daemon = fleet.daemons[rng.choice(list(fleet.daemons))]
        match rng.choice(['kill', 'stop', 'freeze', 'split', 'alone', 'heal']):
            case 'kill':
                daemon.state = 'dead'
                await asyncio.sleep(rng.uniform(0, 2))
                fleet.add(daemon.name)
            case 'stop':
                daemon.state = 'draining'
                await asyncio.sleep(rng.uniform(0, 2))
                daemon.state = 'dead'
                await asyncio.sleep(rng.uniform(0, 1))
                fleet.add(daemon.name)
            case 'freeze':
                daemon.is_frozen = True
                await asyncio.sleep(rng.uniform(0.1, 4))
                daemon.is_frozen = False
            case 'split':
                for one in fleet.daemons.values():
                    one.side = rng.randrange(2)
            case 'alone':
                for number, one in enumerate(fleet.daemons.values()):
                    one.side = number
            case 'heal':
                for one in fleet.daemons.values():
                    one.side = 0
