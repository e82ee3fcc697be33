"""Send requests through a fleet of real processes on loopback."""

import contextlib
import json
import sys
import threading
import time

from tests.fleet import Fleet, chat, fetch

BUDGET = 'cafes/main'
PREPAID_TOKENS = 3_000
DAEMONS = {'d1': 'a', 'd2': 'a', 'd3': 'b'}


def main() -> int:
    """Run the demo; return the exit code."""
    with Fleet() as fleet:
        return Demo(fleet).run()


class Demo:
    """Send requests of each kind and compare their sum with the bill."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._billed = 0

    def run(self) -> int:
        """Return 0 if the budget was exhausted and the bill adds up."""
        self._start()
        self._request_whole_answer()
        self._request_stream()
        self._reserve_part_twice()
        self._kill_owner_during_stream()
        refused = self._exhaust_budget()
        adds_up = self._compare_bill()
        return 0 if refused and adds_up else 1

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start_platform()
        for name in ('e1', 'e2'):
            fleet.start_engine(name)
            fleet.add_engine(name)
        fleet.start_service('parts')
        fleet.add_service('parts')
        fleet.plan_daemons(DAEMONS)
        for name in DAEMONS:
            fleet.start_daemon(name)
        _print_step(
            'started', 'platform, 2 engines, 1 service, 3 daemons in 2 zones'
        )
        fleet.key = fleet.create_team('cafes', tokens=PREPAID_TOKENS)
        _print_step('created team cafes', f'{BUDGET}: {PREPAID_TOKENS} tokens')

    def _request_whole_answer(self) -> None:
        answer = chat(
            self._fleet.url('d1'), self._fleet.key, 'My toaster is dead.'
        )
        _print_step('whole answer through d1', self._add_up(answer))

    def _request_stream(self) -> None:
        answer = chat(
            self._fleet.url('d2'),
            self._fleet.key,
            'My bicycle squeaks.',
            stream=True,
        )
        _print_step('stream through d2', self._add_up(answer))

    def _reserve_part_twice(self) -> None:
        """Reserve a part twice under one idempotency key; it runs once."""
        headers = {
            'Authorization': f'Bearer {self._fleet.key}',
            'Idempotency-Key': 'reserve-1',
            'X-Reference': 'reserve-1',
        }
        for name in ('d3', 'd1'):
            answer = fetch(
                f'{self._fleet.url(name)}/services/parts/reserve',
                method='POST',
                body={'part': 'fuse-10A'},
                headers=headers,
            )
        runs = self._fleet.runs('parts')['reserve-1']
        _print_step(
            'parts reservation, sent twice',
            f'{self._add_up(answer)}, {runs} run',
        )

    def _kill_owner_during_stream(self) -> None:
        """Kill the owner of a stream and retry at another daemon."""
        fleet = self._fleet

        def ask(name: str) -> tuple[int, dict[str, str], bytes]:
            return chat(
                fleet.url(name),
                fleet.key,
                'Why does my kettle hum? [len=100]',
                max_tokens=120,
                headers={'Idempotency-Key': 'kettle'},
                stream=True,
            )

        def send_interrupted() -> None:
            with contextlib.suppress(OSError, Exception):
                ask('d3')

        thread = threading.Thread(target=send_interrupted)
        thread.start()
        time.sleep(0.25)
        owner = max(DAEMONS, key=lambda one: fleet.state(one)['running_keyed'])
        fleet.processes[owner].kill()
        thread.join()
        survivors = [name for name in DAEMONS if name != owner]
        answer = ask(survivors[0])
        words = answer[2].count(b'"content":"') - 1
        _print_step(
            f'{owner} killed in mid-stream',
            f'retry at {survivors[0]}: {words} tokens, {self._add_up(answer)}',
        )
        self._survivors = survivors

    def _exhaust_budget(self) -> bool:
        fleet = self._fleet
        for number in range(300):
            name = self._survivors[number % len(self._survivors)]
            answer = chat(fleet.url(name), fleet.key, f'Question {number}.')
            if answer[0] != 200:
                error = json.loads(answer[2])['error']
                _print_step('refused', f'{error["name"]}, {error["run_state"]}')
                return error['name'] == 'budget_exhausted'
            self._add_up(answer)
        return False

    def _compare_bill(self) -> bool:
        deadline = time.monotonic() + 15
        row = {}
        while time.monotonic() < deadline:
            row = json.loads(self._fleet.operate('bill', 'cafes').stdout)[0]
            if row['settled'] == self._billed:
                break
            time.sleep(0.2)
        _print_step('bill', row)
        adds_up = row['settled'] == self._billed <= row['prepaid']
        _print_step(
            'sum of all answers', f'{self._billed} tokens, equal: {adds_up}'
        )
        return adds_up

    def _add_up(self, answer: tuple[int, dict[str, str], bytes]) -> str:
        """Add the billed tokens of an answer to the sum."""
        status, headers, body = answer
        if status != 200:
            raise RuntimeError(f'unexpected status {status}: {body!r}')
        billed = headers.get('X-Billed-Tokens')
        tokens = int(billed) if billed else _billed_in_stream(body)
        self._billed += tokens
        return f'{tokens} tokens billed'


def _billed_in_stream(body: bytes) -> int:
    for line in body.splitlines():
        if b'"oriolegauge"' in line:
            event = json.loads(line.removeprefix(b'data: '))
            return event['oriolegauge']['billed_tokens']
    raise RuntimeError('the stream ended without billed_tokens')


def _print_step(what: str, detail: object) -> None:
    print(f'{what:<32} {detail}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
