import contextlib
import json
import threading
import time

import pytest

from tests.fleet import Fleet, chat, fetch
from tests.load import Load, settled, wait_until

PREPAID_TOKENS = 60_000
DAEMONS = {'d1': 'a', 'd2': 'b', 'd3': 'c'}
CAPTION = 'Why does my kettle hum? [len=150]'


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        fleet.start_platform()
        for name in ('e1', 'e2', 'e3'):
            fleet.start_engine(name)
            fleet.add_engine(name)
        fleet.plan_daemons(DAEMONS)
        yield fleet


def start(fleet, *, tokens=PREPAID_TOKENS):
    for name in fleet.daemon_settings:
        fleet.start_daemon(name)
    fleet.key = fleet.create_team('cafes', tokens=tokens)
    wait_until(
        lambda: all(
            len(fleet.state(name)['members']) == len(DAEMONS)
            for name in fleet.daemon_settings
        )
    )


def bill_equals(fleet, load):
    """Tell whether each answer was billed once and nothing else was."""
    row = settled(fleet)
    assert row['settled'] <= row['prepaid']
    return row['settled'] == load.billed


def text_of(body):
    return ''.join(
        json.loads(line.removeprefix(b'data: '))['choices'][0]['delta'][
            'content'
        ]
        for line in body.splitlines()
        if line.startswith(b'data: {') and b'"delta"' in line
    )


class Stream:
    """A streamed request in a thread of its own."""

    def __init__(self, fleet, daemon, key=''):
        self.answer = None
        self._call = (fleet.url(daemon), fleet.key, CAPTION)
        self._headers = {'Idempotency-Key': key} if key else {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        time.sleep(0.3)

    def _run(self):
        with contextlib.suppress(Exception):
            self.answer = chat(
                *self._call, max_tokens=200, headers=self._headers, stream=True
            )

    def wait(self):
        self._thread.join(20)
        return self.answer


def whole(answer):
    return answer is not None and b'data: [DONE]' in answer[2]


class TestDaemonDeath:
    def test_retry_after_the_owner_died_gets_the_whole_answer(self, fleet):
        """Guards against a lost or doubled bill when an owner is killed."""
        start(fleet)
        streams = [Stream(fleet, name, 'kettle') for name in DAEMONS]
        time.sleep(0.2)
        owner = max(
            DAEMONS, key=lambda name: fleet.state(name)['running_keyed']
        )
        fleet.processes[owner].kill()
        for stream in streams:
            stream.wait()
        alive = [name for name in DAEMONS if name != owner]
        again = Stream(fleet, alive[0], 'kettle').wait()
        assert whole(again)
        assert text_of(again[2]).count(' ') == 150
        once_more = Stream(fleet, alive[1], 'kettle').wait()
        assert text_of(once_more[2]) == text_of(again[2])
        billed = json.loads(again[2].splitlines()[-4].removeprefix(b'data: '))[
            'oriolegauge'
        ]['billed_tokens']
        wait_until(lambda: settled(fleet)['settled'] == billed)

    def test_grants_of_a_dead_daemon_return(self, fleet):
        """Guards against tokens that stay with a dead daemon."""
        start(fleet, tokens=6_000)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
            fleet.processes['d1'].kill()
            load.daemons = ['d2', 'd3']
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))

        def closed():
            shard = json.loads(fetch(f'{fleet.store_url}/objects/budgets/0')[2])
            grants = shard['value']['budgets']['cafes/main']['grants']
            return not any(
                holder.startswith('d1/') and tokens
                for holder, tokens in grants.items()
            )

        assert wait_until(closed) < 5

    def test_two_deaths_lose_no_bill(self, fleet):
        """Guards against settlements that only the dead daemons knew."""
        start(fleet)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
            fleet.processes['d1'].kill()
            fleet.processes['d2'].kill()
            load.daemons = ['d3']
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))

    def test_frozen_daemon_that_wakes(self, fleet):
        """Guards against spending by a daemon that was paused."""
        start(fleet, tokens=6_000)
        with Load(fleet, ['d2', 'd3']) as load:
            time.sleep(0.5)
            fleet.processes['d1'].freeze()
            time.sleep(3)
            fleet.processes['d1'].wake()
            load.daemons = ['d1', 'd2', 'd3']
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))


class TestStoreFailure:
    def test_outage_with_lost_answers(self, fleet):
        """Guards against a doubled bill when store answers are lost."""
        start(fleet)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(0.5)
            fleet.faults('platform', lose_answers=15)
            time.sleep(1)
            fleet.faults('platform', outage=True)
            before = load.answered
            time.sleep(3)
            assert load.answered > before + 10
            fleet.faults('platform', outage=False, lose_answers=5)
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))

    def test_daemon_cut_off_from_the_store_serves_a_top_up(self, fleet):
        """Guards against false refusals at a daemon without the store."""
        fleet.link_to_store('d1')
        start(fleet, tokens=400)
        fleet.set_links('cut', 'd1-store')
        with Load(fleet, ['d1'], threads=2) as load:
            wait_until(lambda: load.errors['budget_exhausted'] > 2)
            fleet.operate('top-up', 'cafes/main', '--tokens', '9000')
            before = load.answered
            wait_until(lambda: load.answered > before + 5)
        fleet.set_links('pass', 'd1-store')
        wait_until(lambda: bill_equals(fleet, load))

    def test_start_during_an_outage(self, fleet):
        """Guards against a replaced daemon that cannot start."""
        start(fleet)
        # Grants exist only for budgets in use; an outage pools those.
        with Load(fleet, ['d1']):
            time.sleep(0.5)
        fleet.processes['d2'].kill()
        fleet.faults('platform', outage=True)
        fleet.start_daemon('d2')
        answer = chat(fleet.url('d2'), fleet.key, 'Hello [len=2]')
        fleet.faults('platform', outage=False)
        assert answer[0] == 200


class TestPartition:
    def test_isolated_daemon_never_overspends(self, fleet):
        """Guards against two sides that spend the same tokens."""
        fleet.link_to_store('d1')
        fleet.link_between('d1', 'd2', 'd3')
        start(fleet, tokens=5_000)
        sides = [
            link
            for link in fleet.ports
            if link.startswith('d1-') or link.endswith('-d1')
        ]
        with (
            Load(fleet, ['d1'], prefix='cut') as isolated,
            Load(fleet, ['d2'], prefix='rest') as rest,
        ):
            time.sleep(0.5)
            fleet.set_links('freeze', *sides)
            time.sleep(3)
            fleet.operate('top-up', 'cafes/main', '--tokens', '500')
            time.sleep(1)
            fleet.set_links('pass', *sides)
            time.sleep(2)
        total = isolated.billed + rest.billed
        assert total <= 5_500
        wait_until(lambda: settled(fleet)['settled'] == total)


class TestEngineFailure:
    def test_stream_goes_on_at_another_engine(self, fleet):
        """Guards against cut or mixed answers when an engine dies."""
        start(fleet)
        unbroken = Stream(fleet, 'd1').wait()
        stream = Stream(fleet, 'd1')
        servers = fleet.state('d1')['servers']
        busy = max(servers, key=lambda name: servers[name]['in_flight'])
        fleet.processes[busy].kill()
        resumed = stream.wait()
        assert whole(resumed)
        assert text_of(resumed[2]) == text_of(unbroken[2])

    def test_crashing_request_costs_two_engines_at_most(self, fleet):
        """Guards against a request that takes down one engine per retry."""
        start(fleet)
        for attempt in range(6):
            daemon = list(DAEMONS)[attempt % len(DAEMONS)]
            with contextlib.suppress(OSError):
                answer = chat(fleet.url(daemon), fleet.key, 'Boom [crash]')
        assert json.loads(answer[2])['error']['name'] == 'quarantined'
        alive = [
            name
            for name in ('e1', 'e2', 'e3')
            if fleet.processes[name].child.poll() is None
        ]
        assert len(alive) >= 1
        assert chat(fleet.url('d2'), fleet.key, 'Hi [len=2]')[0] == 200

    @pytest.mark.parametrize('source', ['config', 'load_report', 'host_list'])
    def test_leaving_engine_gets_no_new_work(self, fleet, source):
        """Guards against new work at a server that leaves, by any source."""
        start(fleet)
        match source:
            case 'config':
                fleet.operate('server', 'leave', 'e1')
            case 'load_report':
                fleet.faults('e1', leaving=True)
            case _:
                hosts = [
                    {
                        'name': 'e1',
                        'address': '127.0.0.1',
                        'zone': 'a',
                        'state': 'leaving',
                    }
                ]
                fetch(
                    f'{fleet.store_url}/admin/hosts',
                    method='PUT',
                    body={'items': hosts},
                )
        time.sleep(3)
        before = sum(fleet.runs('e1')['runs'].values())
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
        assert load.answered > 5
        assert sum(fleet.runs('e1')['runs'].values()) == before


class TestStragglers:
    def test_short_work_passes_long_streams(self, fleet):
        """Guards against long streams that hold every slot of the servers."""
        start(fleet)
        fleet.operate('server', 'leave', 'e2')
        fleet.operate('server', 'leave', 'e3')
        time.sleep(1)
        question = 'Explain brakes [len=1400]'
        answers = []

        def ask():
            answers.append(
                chat(
                    fleet.url('d1'),
                    fleet.key,
                    question,
                    max_tokens=1500,
                    stream=True,
                )
            )

        threads = [threading.Thread(target=ask) for _ in range(9)]
        for thread in threads:
            thread.start()
        wait_until(lambda: fleet.state('d1')['servers']['e1']['in_flight'] > 7)
        time.sleep(3)
        short = chat(fleet.url('d1'), fleet.key, 'Hi [len=3]')
        assert short[0] == 200
        assert not answers
        for thread in threads:
            thread.join()
        texts = {text_of(answer[2]) for answer in answers}
        assert len(texts) == 1
        assert texts.pop().count(' ') == 1400


class TestDrain:
    @pytest.mark.parametrize('outage', [False, True])
    def test_drain_cuts_no_stream_and_loses_no_bill(self, fleet, outage):
        """Guards against cut streams and lost bills at a shutdown."""
        start(fleet)
        with Load(fleet, ['d2', 'd3'], threads=2) as load:
            stream = Stream(fleet, 'd1')
            if outage:
                fleet.faults('platform', outage=True)
            for _ in range(2):
                fetch(f'{fleet.admin_url("d1")}/drain', method='POST')
            answer = stream.wait()
            assert whole(answer)
            assert fleet.processes['d1'].child.wait(20) == 0
            if outage:
                fleet.faults('platform', outage=False)
            time.sleep(0.5)
        load.billed += json.loads(
            answer[2].splitlines()[-4].removeprefix(b'data: ')
        )['oriolegauge']['billed_tokens']
        wait_until(lambda: bill_equals(fleet, load))


class TestConfiguration:
    def test_change_reaches_every_daemon(self, fleet):
        """Guards against a daemon that serves an old configuration."""
        start(fleet)
        fleet.operate('team', 'create', 'riders')

        def everywhere():
            return all(
                'config/teams/riders' in fleet.state(name)['config_versions']
                for name in DAEMONS
            )

        assert wait_until(everywhere) < 5

    def test_racing_operators_lose_no_change(self, fleet):
        """Guards against an update that overwrites another one."""
        start(fleet)
        codes = []

        def create(number):
            done = fleet.operate('key', 'create', 'cafes/main', check=False)
            codes.append((number, done.returncode))

        threads = [
            threading.Thread(target=create, args=(number,))
            for number in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = sum(code == 0 for _, code in codes)
        assert {code for _, code in codes} <= {0, 51}
        tree = json.loads(
            fetch(f'{fleet.store_url}/objects/config/teams/cafes')[2]
        )
        assert len(tree['value']['keys']) == accepted + 1
