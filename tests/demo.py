"""Show the whole path with real processes on loopback."""

import json
import sys
import time

from tests.fleet import Fleet, chat, fetch

BUDGET = 'cafes/main'
PREPAID_TOKENS = 3_000


def main() -> int:
    """Run the demo; return the exit code."""
    with Fleet() as fleet:
        return _run(fleet)


def _run(fleet: Fleet) -> int:
    _start(fleet)
    key = fleet.create_team('cafes', tokens=PREPAID_TOKENS)
    _say('created team cafes', f'budget {BUDGET} of {PREPAID_TOKENS} tokens')

    billed = 0
    status, headers, _ = chat(fleet.url('d1'), key, 'My toaster is dead.')
    billed += _billed(status, headers)
    _say('whole answer through d1', f'billed {headers["X-Billed-Tokens"]}')

    status, _, body = chat(
        fleet.url('d2'), key, 'My bicycle squeaks.', stream=True
    )
    bill = _stream_bill(body)
    billed += bill['billed_tokens']
    _say('stream through d2', f'billed {bill["billed_tokens"]}')

    status, headers, body = fetch(
        f'{fleet.url("d3")}/services/parts/reserve',
        method='POST',
        body={'part': 'fuse-10A'},
        headers={
            'Authorization': f'Bearer {key}',
            'Idempotency-Key': 'reserve-1',
            'X-Reference': 'reserve-1',
        },
    )
    billed += _billed(status, headers)
    _say('parts reservation through d3', json.loads(body)['reference'])

    refused = 0
    for number in range(200):
        status, headers, body = chat(
            fleet.url(f'd{number % 3 + 1}'), key, f'Question {number}.'
        )
        if status != 200:
            refused += 1
            error = json.loads(body)['error']
            _say('refused', f'{error["name"]}, {error["run_state"]}')
            break
        billed += _billed(status, headers)
    time.sleep(1.5)
    rows = json.loads(fleet.operate('bill', 'cafes').stdout)
    _say('bill', rows[0])
    adds_up = rows[0]['settled'] == billed <= rows[0]['prepaid']
    _say('answers add up to', f'{billed} tokens: {adds_up}')
    return 0 if refused and adds_up else 1


def _start(fleet: Fleet) -> None:
    fleet.start_platform()
    for name in ('e1', 'e2'):
        fleet.start_engine(name)
        fleet.add_engine(name)
    fleet.start_service('parts')
    fleet.add_service('parts')
    fleet.plan_daemons({'d1': 'a', 'd2': 'a', 'd3': 'b'})
    for name in fleet.daemon_settings:
        fleet.start_daemon(name)
    _say('started', 'platform, 2 engines, 1 service, 3 daemons in 2 zones')


def _billed(status: int, headers: dict[str, str]) -> int:
    if status != 200:
        raise RuntimeError(f'unexpected status {status}')
    return int(headers['X-Billed-Tokens'])


def _stream_bill(body: bytes) -> dict[str, int]:
    for line in body.splitlines():
        if b'"oriolegauge"' in line:
            return json.loads(line.removeprefix(b'data: '))['oriolegauge']
    raise RuntimeError('stream without a bill')


def _say(what: str, detail: object) -> None:
    print(f'{what:<32} {detail}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
