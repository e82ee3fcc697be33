"""A small deployment: machines with the project's daemon, store, operator."""

import asyncio
import contextlib
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = 'rota.example'
GRACE_S = 8
# A script may run for 120 s.
MAX_RUN_S = 112
_PORTS = (12_000, 30_000)
_SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "marmara"
portRange = [{peer}, {last_peer}]
seeds = []
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform"]
[zones]
z1 = "marmara"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
vcpus = 2
memoryMb = {memory_mb}
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[contractParams]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
stretchMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
passMs = 120
reuseWindowS = 9.9
settle_ms = 1500
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """Write what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        passed = time.monotonic() - self._began_at
        line = f'{passed:8.3f} {text}'
        self._file.write(f'{line}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.note(text)
        print(text, flush=True)


class Machine:
    """One machine of the system, which runs the daemon of the deploy file."""

    def __init__(self, deployment: 'Deployment', number: int) -> None:
        self.ip = f'{deployment.network}.{number}'
        self.number = number
        self.front = f'{self.ip}:{deployment.front_port}'
        self._ready = (self.ip, deployment.ready_port)
        self._deployment = deployment
        self._process: asyncio.subprocess.Process | None = None
        self.starts = 0

    @property
    def pid(self) -> int | None:
        """Return the process id while the daemon runs."""
        process = self._process
        return process.pid if process and process.returncode is None else None

    async def start(self, *, bootstrap: bool = False) -> None:
        """Start the daemon."""
        deployment = self._deployment
        path = deployment.folder / f'settings-{self.number}.toml'
        path.write_text(
            _SETTINGS.format(
                name=f'front-{self.number}',
                ip=self.ip,
                zone='z1',
                front=deployment.front_port,
                ready=deployment.ready_port,
                peer=deployment.peer_port,
                last_peer=deployment.peer_port + 15,
                bootstrap=str(bootstrap).lower(),
                memory_mb=deployment.memory_mb,
                store=deployment.store.address,
            )
        )
        self.starts += 1
        log = deployment.folder / f'daemon-{self.number}.log'
        with log.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                'python3',
                'platform/daemon.py',
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/tmp'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'ORIOLEGAUGE_CONFIG': str(path),
                },
                stdout=output,
                stderr=output,
            )

    def signal(self, which: signal.Signals) -> None:
        """Send a signal to the daemon."""
        # The method of the process object would also reap the child.
        pid = self.pid
        if pid is not None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, which)

    async def kill(self) -> None:
        """Kill the daemon at once."""
        self.signal(signal.SIGKILL)
        process, self._process = self._process, None
        if process:
            await process.wait()

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace."""
        process = self._process
        if not process:
            return
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            await self.kill()
        self._process = None

    async def wait_end(self) -> int | None:
        """Wait until the daemon has ended; return its exit code."""
        return await self._process.wait() if self._process else None

    def memory_mb(self) -> float:
        """Return the resident memory of the daemon."""
        pid = self.pid
        if pid is None:
            return 0
        try:
            text = Path(f'/proc/{pid}/statm').read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self._ready)
                writer.write(
                    b'GET /oriolegauge/readiness HTTP/1.1\r\nHost: p\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until the daemon is ready; raise TimeoutError."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.1)


class Deployment:
    """Hold the store, the machines and the operator's configuration."""

    def __init__(self, record: Record, *, memory_mb: int = 300) -> None:
        rng = random.SystemRandom()
        self.block = f'127.{rng.randrange(20, 250)}'
        self.network = f'{self.block}.{rng.randrange(1, 100)}'
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = record
        self.memory_mb = memory_mb
        self.store = Store()
        first = _free_ports(self.network, 20)
        self.front_port = first
        self.ready_port = first + 1
        self.peer_port = first + 2
        self.machines: dict[int, Machine] = {}
        self.version = 0
        self.confirmed_at = 0.0
        self._closing: list[Any] = []

    async def __aenter__(self) -> 'Deployment':
        await self.store.start(f'{self.network}.1')
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.kill_all()
        for one in self._closing:
            one.stop()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start_machines(
        self, numbers: Iterable[int], *, bootstrap: bool = True
    ) -> list[Machine]:
        """Start new machines and wait until they are ready."""
        machines = [self.add(number) for number in numbers]
        for machine in machines:
            await machine.start(bootstrap=bootstrap)
        for machine in machines:
            await machine.wait_ready()
        return machines

    async def kill_all(self) -> None:
        """Kill the daemons of all machines at once."""
        for machine in self.machines.values():
            machine.signal(signal.SIGKILL)
        for machine in self.machines.values():
            await machine.kill()

    async def remove_all(self) -> None:
        """Remove all machines for good, without SIGTERM."""
        await self.kill_all()
        self.machines.clear()

    async def restart_all(self) -> list[Machine]:
        """Start the daemons of all machines again; wait until ready."""
        machines = list(self.machines.values())
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.wait_ready()
        return machines

    def add(self, number: int) -> Machine:
        """Return a new machine; its address ends with the number."""
        machine = self.machines[number] = Machine(self, number)
        return machine

    def close_at_end(self, one: Any) -> None:
        """Call `stop` of a server at the end."""
        self._closing.append(one)

    def configure(
        self,
        routes: Iterable[dict[str, Any]],
        services: Iterable[dict[str, Any]],
        tenants: Iterable[dict[str, Any]] = (),
        *,
        max_body_bytes: int = 4_194_304,
    ) -> int:
        """Write a configuration as the operator does; return its version."""
        self.version += 3
        self.store.write(
            'config',
            'main',
            {
                'version': self.version,
                'routes': list(routes),
                'services': list(services),
                'tenants': list(tenants),
                'limits': {
                    'maxHeaderBytes': 16_384,
                    'maxBodyBytes': max_body_bytes,
                    'headerTimeoutMs': 3_000,
                    'idleTimeoutMs': 10_000,
                },
            },
        )
        self.confirmed_at = asyncio.get_running_loop().time()
        return self.version


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    fields: dict[str, Any] = {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3_000,
        'goalMs': 125,
        'service': service,
        'maxAttempts': 1 if kind == 'non_idempotent' else 2,
        'priority': 1,
    }
    return {**fields, **changes}


def service(name: str, max_connections: int = 110) -> dict[str, Any]:
    """Return a service of a configuration."""
    return {
        'name': name,
        'maxConns': max_connections,
        'healthPath': '/health',
        'engine': {'stride': 4, 'slots': 128},
    }


def has_trouble() -> bool:
    """State whether the run has the disruption, as TROUBLE says."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(main: Any, folder: Path) -> None:
    """Run a case and exit with 1 if its rule was broken, else with 0."""
    record = Record(folder)
    record.note(f'TROUBLE={int(has_trouble())}')
    try:
        is_broken = asyncio.run(_run_within_limit(main, record))
    except (Exception, asyncio.CancelledError) as error:
        record.say(f'the case could not run: {error!r}')
        raise SystemExit(2) from error
    record.say('the rule was broken' if is_broken else 'the rule held')
    sys.exit(1 if is_broken else 0)


async def _run_within_limit(main: Any, record: Record) -> bool:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for which in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(which, task.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await main(record)


def _free_ports(network: str, count: int) -> int:
    """Return the first of consecutive ports that are free."""
    rng = random.SystemRandom()
    for _ in range(200):
        first = rng.randrange(*_PORTS)
        if all(_is_free(network, first + step) for step in range(count)):
            return first
    raise RuntimeError('no free ports')


def _is_free(network: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((f'{network}.2', port))
        except OSError:
            return False
    return True
