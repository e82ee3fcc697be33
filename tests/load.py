"""Load from several threads that sums the billed tokens."""

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http.client import HTTPException

from tests.fleet import Fleet, chat


@dataclass
class Load:
    """Send short chat requests until stopped; retry each until answered."""

    fleet: Fleet
    daemons: list[str]
    threads: int = 4
    max_tokens: int = 16
    prefix: str = 'load'
    billed: int = 0
    errors: Counter[str] = field(default_factory=Counter)
    answered: int = 0

    def __post_init__(self) -> None:
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._workers = [
            threading.Thread(target=self._work, args=(number,), daemon=True)
            for number in range(self.threads)
        ]

    def __enter__(self) -> 'Load':
        for worker in self._workers:
            worker.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def stop(self) -> None:
        self._stop.set()
        for worker in self._workers:
            worker.join()

    def _work(self, number: int) -> None:
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            self._send_until_answered(
                f'{self.prefix}-{number}-{sequence}', number + sequence
            )

    def _send_until_answered(self, key: str, sequence: int) -> None:
        """Repeat one request, at other daemons, until it is answered."""
        for attempt in range(30):
            daemon = self.daemons[(sequence + attempt) % len(self.daemons)]
            try:
                status, headers, body = chat(
                    self.fleet.url(daemon),
                    self.fleet.key,
                    f'Question {key} [len=8]',
                    max_tokens=self.max_tokens,
                    headers={'Idempotency-Key': key},
                )
            except (OSError, HTTPException) as error:
                self._count(type(error).__name__)
                time.sleep(0.1)
                continue
            if status == 200:
                with self._lock:
                    self.billed += int(headers['X-Billed-Tokens'])
                    self.answered += 1
                return
            self._count(json.loads(body)['error']['name'])
            time.sleep(0.1)
            if self._stop.is_set():
                return

    def _count(self, name: str) -> None:
        with self._lock:
            self.errors[name] += 1


def first_budget_bill(fleet: Fleet, team: str = 'cafes') -> dict[str, int]:
    """Return the bill row of the first budget of a team."""
    return json.loads(fleet.operate('bill', team).stdout)[0]


def wait_until(check, timeout_s: float = 20.0, period_s: float = 0.1) -> float:
    """Wait until the check holds; return the seconds it took."""
    started = time.monotonic()
    while time.monotonic() - started < timeout_s:
        if check():
            return time.monotonic() - started
        time.sleep(period_s)
    raise AssertionError(f'condition not met within {timeout_s} s')
