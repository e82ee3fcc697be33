"""Verbs and exit codes of the tool against a simulated platform."""

import asyncio
import json
import sys
import threading
from pathlib import Path

import pytest
from aiohttp import web

from oriolegauge.cli.errors import ChangeUnknownError, EditConflictError
from oriolegauge.cli.main import run, verbs
from oriolegauge.cli.merge import diff, merge
from oriolegauge.cli.operator import Operator
from oriolegauge.cli.options import Options
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.objectstore import StoreUnavailableError
from oriolegauge.standins.platform import Platform
from oriolegauge.testkit import MemoryObjectStore, StoreFault

PAGE = Path(__file__).parents[3] / 'docs' / 'command-line.md'
TOKEN = 'ogt_ana.x'


class SimulatedPlatform:
    """Serve a platform and an admin port on loopback in a thread."""

    def __init__(self):
        self.platform = Platform()
        self.drains = 0
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        admin = web.Application()
        admin.add_routes(
            [web.get('/state', self._state), web.post('/drain', self._drain)]
        )
        self.store_url = self._serve(self.platform.application())
        self.admin_url = self._serve(admin)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def _serve(self, app):
        async def start():
            runner = web.AppRunner(app)
            await runner.setup()
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            return runner.addresses[0][1]

        future = asyncio.run_coroutine_threadsafe(start(), self.loop)
        return f'http://127.0.0.1:{future.result()}'

    async def _state(self, request):
        if 'Authorization' not in request.headers:
            raise web.HTTPUnauthorized()
        if request.headers['Authorization'] != f'Bearer {TOKEN}':
            raise web.HTTPForbidden()
        return web.json_response({'lifecycle': 'serving'})

    async def _drain(self, request):
        self.drains += 1
        raise web.HTTPInternalServerError()


@pytest.fixture()
def loopback():
    server = SimulatedPlatform()
    yield server
    server.close()


@pytest.fixture()
def tool(loopback, capsys, monkeypatch):
    """Return a function that runs a verb: exit code and parsed output."""
    monkeypatch.setenv('ORIOLEGAUGE_STORE', loopback.store_url)
    monkeypatch.setenv('ORIOLEGAUGE_OUTPUT', 'json')
    monkeypatch.setenv('ORIOLEGAUGE_DAEMONS', f'd1={loopback.admin_url}')

    def call(*argv):
        code = 0
        try:
            run(argv)
        except SystemExit as stop:
            code = stop.code
        output = capsys.readouterr()
        return code, json.loads(output.out) if output.out else output.err

    return call


def editor(tmp_path, monkeypatch, loopback, *, edits, meanwhile):
    """Set an $EDITOR; another operator changes the team while it is open."""
    script = tmp_path / 'editor.py'
    script.write_text(
        'import json, sys, urllib.request\n'
        f'url = "{loopback.store_url}/objects/config/teams/cafes"\n'
        'row = json.load(urllib.request.urlopen(url))\n'
        f'row["value"].update({meanwhile!r})\n'
        'call = urllib.request.Request(url, method="PUT",\n'
        '    data=json.dumps(row["value"]).encode(),\n'
        '    headers={"If-Match": str(row["version"])})\n'
        'urllib.request.urlopen(call)\n'
        'tree = json.load(open(sys.argv[1]))\n'
        f'tree.update({edits!r})\n'
        'json.dump(tree, open(sys.argv[1], "w"))\n'
    )
    monkeypatch.setenv('EDITOR', f'{sys.executable} {script}')


class TestExitCodes:
    """Guard against failures that scripts mistake for success."""

    def test_invalid_arguments_are_usage_errors(self, tool):
        assert tool('team', 'paint')[0] == ResultCode.USAGE
        assert tool('--output', 'xml', 'status')[0] == ResultCode.USAGE
        tool('team', 'create', 'cafes')
        code, _ = tool('top-up', 'cafes/main', '--tokens', '0')
        assert code == ResultCode.USAGE

    def test_missing_and_invalid_objects_have_own_codes(self, tool):
        code, _ = tool('team', 'set-priority', 'cafes', 'urgent')
        assert code == ResultCode.NOT_FOUND
        tool('team', 'create', 'cafes')
        code, text = tool('config', 'set', 'teams/cafes', 'models', '5')
        assert (code, 'models' in text) == (ResultCode.CONFIG_INVALID, True)
        code, _ = tool('top-up', 'cafes/main', '--tokens', '5')
        assert code == ResultCode.BUDGET_UNKNOWN
        assert tool('dump', 'd9')[0] == ResultCode.NOT_FOUND

    def test_existing_objects_conflict(self, tool):
        tool('team', 'create', 'cafes')
        assert tool('team', 'create', 'cafes')[0] == ResultCode.STORE_CONFLICT
        tool('budget', 'create', 'cafes/main', '--tokens', '5')
        code, _ = tool('budget', 'create', 'cafes/main', '--tokens', '5')
        assert code == ResultCode.STORE_CONFLICT

    def test_store_outage_is_reported(self, tool, loopback):
        loopback.platform.faults['outage'] = True
        code, _ = tool('team', 'create', 'cafes')
        assert code == ResultCode.STORE_UNAVAILABLE

    def test_failed_calls_of_daemons_are_reported(
        self, tool, loopback, monkeypatch
    ):
        assert tool('dump', 'd1')[0] == ResultCode.UNAUTHENTICATED
        assert tool('--token', 'x', 'dump', 'd1')[0] == ResultCode.FORBIDDEN
        code, state = tool('dump', 'd1', '--token', TOKEN)
        assert (code, state) == (0, {'lifecycle': 'serving'})
        assert tool('drain', 'd1')[0] == ResultCode.PEER_REJECTED
        assert loopback.drains == 1
        code, _ = tool('dump', 'http://127.0.0.1:1')
        assert code == ResultCode.PEER_UNREACHABLE
        code, found = tool('status')
        assert (code, found['daemons'][0]['error']) == (0, 'unauthenticated')

    def test_token_is_required_once_operators_exist(self, tool):
        code, row = tool('operator', 'create', 'ana', '--role', 'admin')
        assert code == 0
        assert tool('team', 'create', 'cafes')[0] == ResultCode.FORBIDDEN
        assert tool('team', 'create', 'cafes', '--token', row['token'])[0] == 0


class TestStatus:
    def test_evacuated_zones_are_listed(self, tool, loopback):
        """Guards against an evacuation that an operator does not see."""
        assert tool('status')[1]['evacuations'] == []
        loopback.platform.objects['evacuations/z2'] = {
            'key': 'evacuations/z2',
            'version': 7,
            'value': {},
        }
        rows = tool('status')[1]['evacuations']
        assert rows == [{'zone': 'z2', 'revision': 7}]


class TestRaces:
    """Guard against changes that operators overwrite or lose."""

    def test_concurrent_changes_of_a_value_conflict(
        self, tool, tmp_path, monkeypatch, loopback
    ):
        tool('team', 'create', 'cafes')
        editor(
            tmp_path,
            monkeypatch,
            loopback,
            edits={'priority': 'batch'},
            meanwhile={'priority': 'urgent'},
        )
        code, text = tool('config', 'edit', 'teams/cafes')
        assert (code, 'priority' in text) == (ResultCode.STORE_CONFLICT, True)
        assert tool('team', 'show', 'cafes')[1]['priority'] == 'urgent'

    def test_concurrent_changes_of_other_values_merge(
        self, tool, tmp_path, monkeypatch, loopback
    ):
        tool('team', 'create', 'cafes')
        editor(
            tmp_path,
            monkeypatch,
            loopback,
            edits={'models': ['toaster-7b']},
            meanwhile={'priority': 'urgent'},
        )
        assert tool('config', 'edit', 'teams/cafes')[0] == 0
        team = tool('team', 'show', 'cafes')[1]
        assert (team['priority'], team['models']) == ('urgent', ['toaster-7b'])

    def test_file_with_stale_version_applies_nothing(self, tool, tmp_path):
        version = tool('team', 'create', 'cafes')[1]['version']
        tool('team', 'set-priority', 'cafes', 'urgent')
        path = tmp_path / 'tree.json'
        tree = {'models': ['m'], 'base_version': version}
        path.write_text(json.dumps({'limits': {}, 'teams/cafes': tree}))
        code, _ = tool('config', 'apply', str(path))
        assert code == ResultCode.STORE_CONFLICT
        assert 'config/limits' not in tool('config', 'get')[1]

    def test_apply_validates_all_files_first(self, tool, tmp_path):
        (tmp_path / 'teams').mkdir()
        (tmp_path / 'limits.json5').write_text('{max_request_s: 60}')
        bad = tmp_path / 'teams' / 'cafes.json'
        bad.write_text('{"priority": "high"}')
        code, _ = tool('config', 'apply', str(tmp_path))
        assert code == ResultCode.CONFIG_INVALID
        assert tool('config', 'get')[1] == {}
        bad.write_text('{"priority": "urgent"}')
        assert len(tool('config', 'diff', str(tmp_path))[1]) == 2
        assert tool('config', 'apply', str(tmp_path))[0] == 0
        assert tool('config', 'diff', str(tmp_path))[1] == []

    def test_merge_never_mixes_entries_of_two_operators(self):
        base = {'engines': {'e1': {'url': 'a', 'zone': 'a'}}}
        mine = {'engines': {**base['engines'], 'e2': {'url': 'b'}}}
        theirs = {'engines': {**base['engines'], 'e2': {'zone': 'c'}}}
        with pytest.raises(EditConflictError):
            merge(theirs, diff(base, mine))
        moved = {'engines': {'e1': {'url': 'x', 'zone': 'a'}}}
        with pytest.raises(EditConflictError):
            merge({'engines': {}}, diff(base, moved))
        first = merge({}, diff({}, mine))
        assert first == mine
        assert merge({'engines': {}}, diff({}, mine)) == mine


class TestLostAnswers:
    """Guard against payments that count twice or not at all.

    The store applies a change, but its answer is lost.
    """

    def test_top_up_counts_once_after_a_lost_answer(self, tool, loopback):
        tool('team', 'create', 'cafes')
        loopback.platform.faults['lose_answers'] = 1
        create = ('budget', 'create', 'cafes/main', '--tokens', '100')
        assert tool(*create)[0] == 0
        loopback.platform.faults['lose_answers'] = 1
        pay = ('top-up', 'cafes/main', '--tokens', '50', '--top-up-id', 'p1')
        assert tool(*pay)[1]['prepaid'] == 150
        assert tool(*pay)[1]['prepaid'] == 150
        code, _ = tool(*pay[:3], '60', *pay[4:])
        assert code == ResultCode.STORE_CONFLICT
        history = tool('config', 'history', 'budgets/cafes/main')[1]
        assert [row['id'] for row in history][1:] == ['p1']

    def test_history_holds_each_change_once(self, tool, loopback):
        tool('team', 'create', 'cafes')
        for number in range(55):
            loopback.platform.faults['lose_answers'] = number % 3
            priority = ('urgent', 'batch')[number % 2]
            change = ('team', 'set-priority', 'cafes', priority)
            assert tool(*change, '--author', f'op{number}')[0] == 0
        history = tool('config', 'history', 'teams/cafes')[1]
        assert [row['author'] for row in history] == [
            f'op{number}' for number in range(5, 55)
        ]

    async def test_unknown_outcome_is_reported(self):
        store = MemoryObjectStore()
        operator = Operator(store, author='ana')

        async def lost(key, value, expected_version):
            store.fault = StoreFault.OUTAGE
            return await put(key, value, expected_version)

        put, store.put = store.put, lost
        store.next_faults = [StoreFault.LOSE_AFTER]
        with pytest.raises(ChangeUnknownError, match='unknown whether'):
            await operator.change(
                'config/limits', lambda tree: {'max_request_s': 5}
            )
        with pytest.raises(StoreUnavailableError):
            await operator.read('config/limits')


class TestPage:
    """Guard against verbs that the page on the command line omits."""

    def test_page_names_each_verb(self):
        text = PAGE.read_text()
        for name, entry in verbs(Options()).items():
            parts = [''] if callable(entry) else entry
            for part in parts:
                assert f'| `{f"{name} {part}".strip()}' in text
