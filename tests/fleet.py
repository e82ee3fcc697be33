"""Start and stop real processes for the demo and the process tests."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from tests.ports import HOST, hold_port

START_TIMEOUT_S = 20
# Longer than a configuration change takes to reach all daemons.
CONFIG_SETTLE_S = 1.0


def fetch(
    url: str,
    *,
    method: str = 'GET',
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of one HTTP call."""
    raw = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url,
        data=raw,
        method=method,
        headers={'Content-Type': 'application/json', **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


class Process:
    """One child process with its log file."""

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.log = folder / f'{name}.log'
        with self.log.open('w') as output:
            self.child = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        self.child.kill()
        self.child.wait()

    def suspend(self) -> None:
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.child.send_signal(signal.SIGCONT)

    def stop(self, timeout_s: float = 20) -> int:
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -9


class Fleet:
    """A platform, engines, services and daemons on loopback ports."""

    def __init__(self, *, output: str = 'json') -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='oriolegauge-'))
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.store_port = 0
        self.output = output
        self.python = [sys.executable, '-m']
        self.key = ''
        self.daemon_settings: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self.processes.values():
            if process.child.poll() is None:
                process.kill()

    @property
    def store_url(self) -> str:
        return f'http://{HOST}:{self.store_port}'

    def start_platform(self) -> None:
        self.store_port = hold_port()
        self._start_standin('platform', self.store_port, [])

    def start_engine(
        self, name: str, models: str = 'toaster-7b', *extra: str
    ) -> None:
        port = self.ports.setdefault(name, hold_port())
        self._start_standin(
            'engine', port, ['--name', name, '--models', models, *extra], name
        )

    def start_service(self, name: str) -> None:
        port = self.ports.setdefault(name, hold_port())
        self._start_standin('service', port, ['--name', name], name)

    def start_relay(self, name: str, target: str) -> str:
        """Start a relay that simulates link faults; return its address."""
        port, admin_port = hold_port(), hold_port()
        self.ports[name] = admin_port
        self.processes[name] = Process(
            name,
            [
                'oriolegauge.standins.link',
                '--port',
                str(port),
                '--admin-port',
                str(admin_port),
                '--target',
                target,
            ],
            self.folder,
        )
        self.wait_for(f'{self.url(name)}/admin/runs')
        return f'{HOST}:{port}'

    def relay_to_store(self, daemon: str) -> None:
        """Route the store traffic of a planned daemon through its own relay."""
        address = self.start_relay(
            f'{daemon}-store', f'{HOST}:{self.store_port}'
        )
        self.daemon_settings[daemon]['store_url'] = f'http://{address}'

    def relay_between(self, *daemons: str) -> None:
        """Route the traffic between planned daemons through relays."""
        for name in daemons:
            for peer in self.daemon_settings[name]['peers']:
                if peer['name'] in daemons:
                    peer['address'] = self.start_relay(
                        f'{name}-{peer["name"]}', peer['address']
                    )

    def set_relay_mode(self, mode: str, *names: str) -> None:
        """Set relays to `pass`, `cut` or `freeze`."""
        for name in names:
            self.set_faults(name, mode=mode)

    def plan_daemons(self, zones: dict[str, str], **settings: Any) -> None:
        """Choose ports and write settings in which daemons list each other."""
        for name, zone in zones.items():
            self.daemon_settings[name] = {
                'name': name,
                'zone': zone,
                'address': HOST,
                'caller_port': hold_port(),
                'admin_port': hold_port(),
                'peer_port': hold_port(),
                'store_url': self.store_url,
                'drain_notice_s': 0.3,
                'flush_period_s': 0.5,
                **settings,
            }
        for name, own in self.daemon_settings.items():
            own['peers'] = [
                {
                    'name': other,
                    'zone': row['zone'],
                    'address': f'{HOST}:{row["peer_port"]}',
                }
                for other, row in self.daemon_settings.items()
                if other != name
            ]

    def start_daemon(self, name: str) -> None:
        settings = self.daemon_settings[name]
        path = self.folder / f'{name}.json'
        path.write_text(
            '// written by the test fleet\n' + json.dumps(settings, indent=2)
        )
        self.processes[name] = Process(
            name,
            ['oriolegauge.daemon.main', '--settings', str(path)],
            self.folder,
        )
        self.ports[name] = settings['caller_port']
        self.wait_for(f'http://{HOST}:{settings["admin_port"]}/readyz', name)

    def url(self, name: str) -> str:
        return f'http://{HOST}:{self.ports[name]}'

    def admin_url(self, name: str) -> str:
        return f'http://{HOST}:{self.daemon_settings[name]["admin_port"]}'

    def state(self, name: str) -> dict[str, Any]:
        return json.loads(fetch(f'{self.admin_url(name)}/state')[2])

    def set_faults(self, name: str, **faults: Any) -> None:
        url = self.store_url if name == 'platform' else self.url(name)
        fetch(f'{url}/admin/faults', method='POST', body=faults)

    def runs(self, name: str) -> dict[str, Any]:
        return json.loads(fetch(f'{self.url(name)}/admin/runs')[2])

    def operate(
        self, *arguments: str, check: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool."""
        environment = {
            **os.environ,
            'ORIOLEGAUGE_STORE': self.store_url,
            'ORIOLEGAUGE_OUTPUT': self.output,
        }
        done = subprocess.run(
            [sys.executable, '-m', 'oriolegauge.cli.main', *arguments],
            capture_output=True,
            text=True,
            env=environment,
            timeout=30,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f'{arguments}: {done.stdout}{done.stderr}')
        return done

    def new_key(self, budget: str) -> str:
        """Return a new caller key of the budget."""
        return json.loads(self.operate('key', 'create', budget).stdout)['key']

    def add_engine(self, name: str, models: str = 'toaster-7b') -> None:
        """Register a started engine in the configuration."""
        self.operate(
            'server', 'add', name, '--url', self.url(name), '--models', models
        )

    def add_service(self, name: str) -> None:
        """Register a started service in the configuration."""
        self.operate(
            'service', 'add', name, '--urls', f'{name}={self.url(name)}'
        )

    def create_team(
        self, team: str, *, tokens: int, priority: str = 'normal'
    ) -> str:
        """Create a team with a budget `main`; return a caller key."""
        self.operate('team', 'create', team, '--priority', priority)
        self.operate(
            'budget', 'create', f'{team}/main', '--tokens', str(tokens)
        )
        key = self.new_key(f'{team}/main')
        time.sleep(CONFIG_SETTLE_S)
        return key

    def wait_for(self, url: str, process: str = '') -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            started = self.processes.get(process)
            if started and started.child.poll() is not None:
                raise RuntimeError(started.log.read_text())
            try:
                if fetch(url, timeout=2)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f'{url} was not ready in {START_TIMEOUT_S} s')

    def _start_standin(
        self, kind: str, port: int, extra: list[str], name: str | None = None
    ) -> None:
        module = f'oriolegauge.standins.{kind}'
        self.processes[name or kind] = Process(
            name or kind, [module, '--port', str(port), *extra], self.folder
        )
        probes = {'platform': '/hosts', 'engine': '/load'}
        self.wait_for(f'http://{HOST}:{port}{probes.get(kind, "/admin/runs")}')


def chat(
    base_url: str,
    key: str,
    text: str,
    *,
    max_tokens: int = 32,
    headers: dict[str, str] | None = None,
    stream: bool = False,
    model: str = 'toaster-7b',
) -> tuple[int, dict[str, str], bytes]:
    """Send one chat completion."""
    return fetch(
        f'{base_url}/v1/chat/completions',
        method='POST',
        headers={'Authorization': f'Bearer {key}', **(headers or {})},
        body={
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': stream,
        },
    )
