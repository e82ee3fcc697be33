"""Starts daemons by the command of the deploy file, and stops them."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
nodeName = "front-z1-{number}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "z1"
region = "r1"
portRange = [{peer}, {last}]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
             "stream", "tenants", "platform"]
[zones]
z1 = "r1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
vcpus = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[contractParams]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
retryRatio = 0.2
retryWindowS = 10
retrySlack = 56
recoverS = 12
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""


# The port of the metrics is the same on all hosts, so each run takes addresses
# of its own.
_NETWORK = f'127.{random.SystemRandom().randrange(16, 240)}.{os.getpid() % 250}'


def free_port(host: str) -> int:
    """Return a port that nothing listens on now."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(10_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


class Daemon:
    """Run one daemon on a loopback address of its own."""

    def __init__(self, folder: Path, number: int, store: str) -> None:
        """Choose the address and ports; `store` is HOST:PORT."""
        self.ip = f'{_NETWORK}.{10 + number}'
        self.number = number
        self.store = store
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.peer = free_port(self.ip)
        self.folder = folder
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None

    @property
    def log(self) -> Path:
        """Return the path of its output."""
        return self.folder / f'daemon-{self.number}.log'

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f'settings-{self.number}.toml'
        path.write_text(
            SETTINGS.format(
                number=self.number,
                ip=self.ip,
                peer=self.peer,
                last=self.peer + 15,
                front=self.front,
                ready=self.ready,
                store=self.store,
                bootstrap=str(not self.starts).lower(),
            )
        )
        self.starts += 1
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': 'C.UTF-8',
                    'ORIOLEGAUGE_CONFIG': str(path),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, which: signal.Signals) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            if self.process and self.process.returncode is None:
                self.process.send_signal(which)

    async def stop(self) -> None:
        """Kill the process."""
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until the daemon says that it is ready; raise TimeoutError."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Ask for the readiness."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(
                b'GET /oriolegauge/readiness HTTP/1.1\r\nHost: a\r\n\r\n'
            )
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        if not self.process or self.process.returncode is not None:
            return 0
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0


def command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    program, *words = deploy['roles']['gateway']['run'].split()
    if program == 'python3':
        program = sys.executable
    return [program, *words]
