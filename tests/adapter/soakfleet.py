"""Runs daemons as processes with a stand-in store and backend servers."""

import asyncio
import contextlib
import os
import signal
import sys
from collections import Counter
from pathlib import Path

from tests.ports import HOST, hold_port

from .loopbackproxy import LinkFault, LoopbackProxy
from .standinstore import StandInStore

ROOT = Path(__file__).resolve().parents[2]
TEAM = 'team'
KEY = 'caller-key'
EVENTS = 4
EVENT_PAUSE_S = 0.02
TOKENS_PER_EVENT = 5
PROMPT_TOKENS = 100
GRACE_S = 5
SETTINGS = """
bootstrap = {bootstrap}
contracts = {contracts}
ip = "127.0.0.1"
zone = "z1"
portRange = [{peer}, {relay}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
maxFds = 1000
cpuShare = 1.0
vcpus = 1
linkMbps = 1000.0
[contractParams]
retryRatio = {retry_ratio}
retrySlack = 50
graceS = {grace_s}
[platform]
address = "127.0.0.1:{store}"
"""


class Backend:
    """Answer requests and count the runs of each attempt.

    `limit_per_s` is the rate that its replies name, if there is one; `arrivals`
    are the loop times of all requests. Answers take `answer_s` or the seconds
    of the header `X-Answer-S`; the events of a stream come at intervals of
    0.02 s or the seconds of the header `X-Pause-S`.
    """

    def __init__(self, run_counts: Counter[str]) -> None:
        self.run_counts = run_counts
        self.limit_per_s: float | None = None
        self.arrivals: list[float] = []
        self.answer_s: float = 0
        self.port = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        # A writer left to the garbage collector fails if its loop has closed.
        with (
            contextlib.closing(writer),
            contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError, OSError
            ),
        ):
            while True:
                await self._answer(reader, writer)

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().split('\r\n')[:-2]
        headers = dict(line.split(': ', 1) for line in lines)
        lower = {name.lower(): text for name, text in headers.items()}
        await reader.readexactly(int(lower.get('content-length', 0)))
        attempt = lower['x-oriolegauge-attempt-id']
        self.run_counts[attempt] += 1
        self.arrivals.append(asyncio.get_running_loop().time())
        await asyncio.sleep(float(lower.get('x-answer-s', self.answer_s)))
        limit = '' if self.limit_per_s is None else self._limit_header()
        base = (
            'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n'
            f'X-Oriolegauge-Attempt-Id: {attempt}\r\n'
            f'X-Oriolegauge-Server-Signature: s\r\n{limit}'
        )
        if '/stream/' not in first:
            body = f'done {attempt}'.encode()
            writer.write(f'{base}Content-Length: {len(body)}\r\n\r\n'.encode())
            writer.write(body)
            return
        writer.write(f'{base}Transfer-Encoding: chunked\r\n\r\n'.encode())
        start = int(lower.get('last-event-id', 0))
        for number in range(start + 1, EVENTS + 1):
            data = f'id: {number}\ndata: {attempt}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(float(lower.get('x-pause-s', EVENT_PAUSE_S)))
        writer.write(b'0\r\n\r\n')

    def _limit_header(self):
        return f'Server-Limit: {self.limit_per_s}\r\n'


class SoakFleet:
    """Start, disturb and stop daemons; signal only its own processes."""

    def __init__(self, folder: Path, *, size: int, prepaid: int) -> None:
        self.folder = folder
        self.size = size
        self.prepaid = prepaid
        self.grace_s = GRACE_S
        self.store = StandInStore()
        self.run_counts: Counter[str] = Counter()
        self.backends = [Backend(self.run_counts) for _ in range(3)]
        self.ports = [
            (hold_port(), hold_port(), hold_port()) for _ in range(size)
        ]
        self.relay_ports = [hold_port() for _ in range(size)]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.proxies: list[LoopbackProxy] = []
        self.retry_ratio = 0.2
        self.version = 0
        # Zones of the backend servers, and contracts of the settings.
        self.zones = ['z1'] * len(self.backends)
        self.contracts: list[str] = []
        # Further fields of the service in the configuration.
        self.service_fields: dict[str, float] = {}
        self.started: set[int] = set()
        # Further routes of the configuration, without repeats.
        self.added: list[str] = []

    async def __aenter__(self):
        await self.store.start()
        for backend in self.backends:
            await backend.start()
        await self._start_proxies()
        for number in range(len(self.backends)):
            await self.store.write(
                'servers',
                f'i-{number}',
                {
                    'service': 'svc',
                    'address': f'{HOST}:{self.proxies[number + 1].port}',
                    'zone': self.zones[number],
                    'slots': 20,
                    'state': 'ready',
                },
            )
        await self.write_config()
        for number in range(self.size):
            await self.start(number)
        return self

    async def __aexit__(self, *_):
        for number in list(self.processes):
            await self.kill(number)
        for proxy in self.proxies:
            await proxy.stop()
        for backend in self.backends:
            await backend.stop()
        await self.store.stop()

    async def _start_proxies(self):
        """Start a proxy for the store, then one for each backend server."""
        ports = [self.store.port, *(one.port for one in self.backends)]
        self.proxies = [LoopbackProxy(port) for port in ports]
        for proxy in self.proxies:
            await proxy.start()

    async def inject_link_fault(self, rng):
        """Inject a random fault into one link for up to two seconds."""
        proxy = rng.choice(self.proxies)
        match rng.choice(['reset', 'blackhole', *LinkFault]):
            case 'reset':
                proxy.reset()
            case 'blackhole':
                proxy.blackhole()
            case fault:
                proxy.fault = fault
                await asyncio.sleep(rng.uniform(0.2, 2))
                await proxy.heal()

    async def write_config(self):
        self.version += 1
        routes = [
            _route('once', 'non_idempotent', maxAttempts=1),
            _route('safe', 'idempotent'),
            _route('stream', 'streaming', sticky=True, canResume=True),
            *(_route(name, 'idempotent') for name in self.added),
        ]
        await self.store.write(
            'config',
            'main',
            {
                'version': self.version,
                'routes': routes,
                'services': [
                    {
                        'name': 'svc',
                        'maxConns': 400,
                        'engine': {'stride': TOKENS_PER_EVENT, 'slots': 20},
                        **self.service_fields,
                    }
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 100000,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 10000,
                },
                'tenants': [
                    {'name': TEAM, 'apiKeys': [KEY], 'prepaid': self.prepaid}
                ],
            },
        )

    async def start(self, number):
        front, ready, peer = self.ports[number]
        path = self.folder / f'settings-{number}.toml'
        path.write_text(
            SETTINGS.format(
                front=front,
                ready=ready,
                peer=peer,
                relay=self.relay_ports[number],
                store=self._store_port(number),
                retry_ratio=self.retry_ratio,
                grace_s=self.grace_s,
                contracts=self.contracts,
                bootstrap=str(number not in self.started).lower(),
            )
        )
        self.started.add(number)
        with self._log_path(number).open('ab') as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self._program(number)),
                env={
                    **os.environ,
                    'ORIOLEGAUGE_CONFIG': str(path),
                    'ORIOLEGAUGE_METRICS_PORT': '0',
                },
                stdout=log,
                stderr=log,
            )

    def _program(self, number):
        return ROOT / 'platform' / 'daemon.py'

    def _store_port(self, number):
        return self.proxies[0].port

    def _log_path(self, number):
        return self.folder / f'daemon-{number}.log'

    def signal(self, number, which):
        with contextlib.suppress(ProcessLookupError):
            self.processes[number].send_signal(which)

    async def kill(self, number):
        self.signal(number, signal.SIGKILL)
        await self.processes.pop(number).wait()

    async def term(self, number):
        self.signal(number, signal.SIGTERM)
        await self.processes.pop(number).wait()

    async def wait_ready(self, number, seconds=15):
        try:
            async with asyncio.timeout(seconds):
                while not await self._is_ready(number):
                    self._check_running(number)
                    await asyncio.sleep(0.1)
        except TimeoutError:
            last = self._log_path(number).read_text().splitlines()[-20:]
            raise AssertionError(
                f'daemon {number} is not ready:\n' + '\n'.join(last)
            ) from None

    def _check_running(self, number):
        log = self._log_path(number)
        ended = self.processes[number].returncode is not None
        assert not ended, log.read_text()[-3_000:]

    async def _is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports[number][1]
            )
        except OSError:
            return False
        writer.write(b'GET /oriolegauge/readiness HTTP/1.1\r\nHost: a\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line


def _route(name, kind, **changes):
    fields = {
        'name': name,
        'host': 'h.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3000,
        'goalMs': 200,
        'service': 'svc',
        'maxAttempts': 2,
        'gapGoalMs': 250,
    }
    return {**fields, **changes}
