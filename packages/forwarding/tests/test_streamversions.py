"""Software versions of the servers that answer streams."""

import pytest

from oriolegauge.forwarding import RequestKind, WeightedService

from .test_streamexchange import WHOLE, resumed
from .world import ScriptedServer, World, chunk, event, route, stream_head


async def break_after_two(seen, writer):
    writer.write(stream_head(seen) + chunk(event(1)) + chunk(event(2)))
    await writer.drain()
    writer.close()


async def close_at_once(seen, writer):
    writer.close()


class VersionedWorld(World):
    """Three servers with a version each; streams are placed at v1."""

    def __init__(self, *scripts, versions):
        super().__init__(*(ScriptedServer(script) for script in scripts))
        self.server_versions = dict(
            zip(('s0', 's1', 's2'), versions, strict=True)
        )
        self.versions.placed = 'v1'

    def runs(self):
        return [len(server.seen) for server in self.servers]


class TestStreamVersions:
    async def test_stream_is_resumed_at_the_version_that_began_it(self):
        """Guards against an answer with events of two versions."""
        async with VersionedWorld(
            break_after_two, resumed, resumed, versions=('v1', 'v2', 'v1')
        ) as world:
            world.chooser.connected('s2', ok=False, now=world.now())
            answer = await world.call('/chat/x', body=b'p')
            assert answer.body == WHOLE
            assert world.runs() == [1, 0, 1]
            assert world.versions.begun == [('svc', 'r1', 'v1')]
            assert world.versions.whole == ['r1']

    async def test_stream_without_a_server_of_its_version_is_broken_off(self):
        """Guards against a join when the last server of a version ends."""
        async with VersionedWorld(
            break_after_two, resumed, resumed, versions=('v1', 'v2', 'v2')
        ) as world:
            with pytest.raises(Exception):  # noqa: B017
                await world.call('/chat/x', body=b'p')
            assert world.runs() == [1, 0, 0]
            assert world.versions.whole == []

    async def test_attempt_without_an_event_leaves_the_version_open(self):
        """Guards against a version noted for a stream that has not begun."""
        async with VersionedWorld(
            close_at_once, resumed, resumed, versions=('v1', 'v2', 'v1')
        ) as world:
            world.chooser.connected('s2', ok=False, now=world.now())
            answer = await world.call('/chat/x', body=b'p')
            assert answer.body == WHOLE
            assert world.versions.begun == [('svc', 'r1', 'v1')]

    @pytest.mark.parametrize(
        ('origin', 'runs'), [('v1', [1, 0, 0]), ('v2', [0, 1, 0])]
    )
    async def test_stream_taken_up_goes_on_at_its_version(self, origin, runs):
        """Guards against a join over the tries of a caller."""
        async with VersionedWorld(
            resumed, resumed, resumed, versions=('v1', 'v2', 'v3')
        ) as world:
            world.versions.origins = {'first': origin}
            answer = await world.call(
                '/chat/x',
                request_id='third',
                body=b'p',
                X_Resumes='first',
                Last_Event_Id='2',
            )
            assert ' 200 ' in answer.first_line
            assert world.runs() == runs
            assert world.versions.begun == [('svc', 'first', origin)]
            assert world.versions.whole == ['first']

    @pytest.mark.parametrize(
        'headers',
        [
            {'X_Resumes': 'other', 'Last_Event_Id': '2'},
            {'X_Resumes': 'other'},
            {'Last_Event_Id': '2'},
        ],
    )
    async def test_stream_of_an_unknown_version_is_refused_as_not_run(
        self, headers
    ):
        """Guards against a guess of the version."""
        async with VersionedWorld(
            resumed, resumed, resumed, versions=('v1', 'v2', 'v1')
        ) as world:
            answer = await world.call('/chat/x', body=b'p', **headers)
            assert ' 503 ' in answer.first_line
            assert world.runs() == [0, 0, 0]

    async def test_version_without_a_server_is_refused_as_not_run(self):
        async with VersionedWorld(
            resumed, resumed, resumed, versions=('v1', 'v2', 'v1')
        ) as world:
            world.versions.origins = {'first': 'v0'}
            answer = await world.call(
                '/chat/x', body=b'p', X_Resumes='first', Last_Event_Id='2'
            )
            assert ' 503 ' in answer.first_line
            assert world.runs() == [0, 0, 0]

    @pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/review/x'])
    async def test_other_requests_go_to_any_version(self, path):
        """Guards against versions that bind what is never resumed."""
        async with VersionedWorld(
            ScriptedServer.plain,
            ScriptedServer.plain,
            ScriptedServer.plain,
            versions=('v2', 'v2', 'v3'),
        ) as world:
            answer = await world.call(path, body=b'p')
            assert ' 200 ' in answer.first_line
            assert world.versions.begun == []


class TestServiceOfStream:
    @pytest.mark.parametrize('remembered', [True, False])
    async def test_stream_taken_up_goes_to_the_service_that_began_it(
        self, remembered
    ):
        """Guards against a route with several services that mixes them."""
        shared = route(
            '/chat/',
            RequestKind.STREAM,
            services=(WeightedService('svc', 1), WeightedService('other', 1)),
            is_resumable=True,
            has_prompt=True,
        )
        async with World(ScriptedServer(resumed), routes=(shared,)) as world:
            began = []
            for number in range(20):
                name = f'first-{number}'
                if remembered:
                    world.versions.services[name] = 'svc'
                first = await world.call('/chat/x', request_id=name, body=b'p')
                began.append(' 200 ' in first.first_line)
                world.versions.origins[name] = ''
                again = await world.call(
                    '/chat/x',
                    request_id=f'second-{number}',
                    body=b'p',
                    X_Resumes=name,
                    Last_Event_Id='2',
                )
                assert (' 200 ' in again.first_line) == began[-1]
            assert any(began)
            assert all(began) == remembered
