"""Requests that wait or are refused while slots of servers are short."""

import asyncio

from oriolegauge.forwarding import RequestKind
from oriolegauge.routing.serverchooser import PeerLoad

from .world import KEY, ScriptedServer, World, request_bytes, route

SLOTS = 8
BOUNDS = {'X_Token_Bounds': '100,60'}


def world(*, objective_s=1.0, servers=1, **changes):
    routes = (
        route(
            '/safe/',
            RequestKind.IDEMPOTENT,
            objective_s=objective_s,
            timeout_s=30.0,
        ),
    )
    return World(
        *(ScriptedServer() for _ in range(servers)),
        routes=routes,
        **{'is_gated': True, **changes},
    )


def take_slots(one, count, tokens=0):
    """Let other daemons run `count` requests on the server."""
    one.chooser.note_peers({'s0': PeerLoad(count, tokens)})


async def until(condition):
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.005)


class TestFullServers:
    async def test_request_is_refused_as_not_run_before_tokens_are_reserved(
        self,
    ):
        """Guards against requests that are sent into full servers."""
        async with world() as one:
            take_slots(one, SLOTS)
            began = one.now()
            answer = await one.call('/safe/x', **BOUNDS)
            assert '429' in answer.first_line
            assert float(answer.headers['retry-after']) > 0
            assert b'"run_state":"not_run"' in answer.body
            assert one.now() - began < 1.0 / 8
            assert not one.servers[0].seen
            assert not one.budget.reserved

    async def test_without_the_setting_nothing_is_held_back(self):
        """Guards against a gate in deployments that did not ask for it."""
        async with world(is_gated=False) as one:
            take_slots(one, SLOTS)
            answer = await one.call('/safe/x', **BOUNDS)
            assert '200' in answer.first_line

    async def test_waiting_request_is_sent_when_a_slot_is_free(self):
        """Guards against waiting requests that nobody wakes."""
        async with world(objective_s=20.0) as one:
            take_slots(one, SLOTS)
            call = asyncio.create_task(one.call('/safe/x', **BOUNDS))
            await until(lambda: one.forwarder.waiting)
            assert not one.budget.reserved
            take_slots(one, SLOTS // 2)
            answer = await call
            assert '200' in answer.first_line
            assert one.budget.reserved == [160]
            assert one.forwarder.waiting == 0

    async def test_nothing_is_refused_while_half_of_the_slots_are_free(self):
        """Guards against refusals by a long backlog of reading alone."""
        async with world() as one:
            take_slots(one, SLOTS // 2 - 1, tokens=1_000_000)
            for number in range(5):
                answer = await one.call(
                    '/safe/x', request_id=f'r{number}', **BOUNDS
                )
                assert '200' in answer.first_line

    async def test_stream_that_is_taken_up_does_not_wait(self):
        """Guards against a pause in a stream that its caller reads."""
        async with world() as one:
            take_slots(one, SLOTS)
            answer = await one.call('/safe/x', X_Resumes='r0', **BOUNDS)
            assert '200' in answer.first_line

    async def test_without_loads_requests_go_on_until_servers_reject(self):
        """Guards against a gate that is shut while the aggregator is away."""
        async with world() as one:
            one.loads.is_fresh = False
            take_slots(one, SLOTS)
            answer = await one.call('/safe/x', **BOUNDS)
            assert '200' in answer.first_line


class TestWaitingRequests:
    async def test_stop_answers_those_that_wait_as_not_run(self):
        """Guards against requests that are lost at a shutdown."""
        async with world(objective_s=20.0) as one:
            take_slots(one, SLOTS)
            call = asyncio.create_task(one.call('/safe/x', **BOUNDS))
            await until(lambda: one.forwarder.waiting)
            one.drain(answers_until=0.1)
            answer = await call
            assert '503' in answer.first_line
            assert b'"run_state":"not_run"' in answer.body
            assert one.forwarder.waiting == 0
            assert not one.servers[0].seen

    async def test_caller_that_leaves_is_removed(self):
        """Guards against a line full of callers that have left."""
        async with world(objective_s=20.0) as one:
            take_slots(one, SLOTS)
            _, writer = await one.connect()
            writer.write(request_bytes('/safe/x', **BOUNDS))
            await until(lambda: one.forwarder.waiting)
            writer.close()
            await until(lambda: not one.forwarder.waiting)
            take_slots(one, 0)
            await asyncio.sleep(0.25)
            assert not one.servers[0].seen
            assert not one.budget.reserved


class TestExplanation:
    QUERY = {'host': 'host.example', 'path': '/safe/x', 'bounds': '100,60'}

    async def test_explanation_is_the_decision_and_sends_nothing(self):
        """Guards against an answer that differs from what would happen."""
        async with world() as one:
            idle = one.forwarder.explain(self.QUERY, KEY)
            assert idle['gate']['decision'] == {'kind': 'GoOn'}
            assert idle['server'] == 's0'
            take_slots(one, SLOTS)
            full = one.forwarder.explain(self.QUERY, KEY)
            assert full['gate']['decision']['kind'] == 'Wait'
            assert full['gate']['loads']['busy_share'] == 1.0
            assert full['servers'][0]['running'] == SLOTS
            again = one.forwarder.explain(self.QUERY, KEY)
            assert again['gate']['loads'] == full['gate']['loads']
            assert one.forwarder.waiting == 0
            assert not one.servers[0].seen
            assert not one.budget.reserved

    async def test_refusals_before_the_gate_are_explained(self):
        """Guards against an explanation that fails for a wrong key."""
        async with world() as one:
            found = one.forwarder.explain(self.QUERY, 'wrong')
            assert found == {
                'refused': 'the caller key is unknown',
                'status': 401,
            }
            nowhere = {**self.QUERY, 'path': '/nowhere'}
            assert one.forwarder.explain(nowhere, KEY)['status'] == 404


class TestUnreachableServers:
    async def test_their_slots_do_not_count_as_free(self):
        """Guards against a gate that is open while half of the servers run."""
        async with world(servers=2) as one:
            one.chooser.connected('s1', ok=False, now=one.now())
            take_slots(one, SLOTS)
            # The dispatcher tries it again after some time.
            await asyncio.sleep(0.35)
            answer = await one.call('/safe/x', **BOUNDS)
            assert '429' in answer.first_line

    async def test_all_of_them_are_left_to_the_dispatcher(self):
        """Guards against a gate that fails without any server."""
        async with world() as one:
            one.chooser.connected('s0', ok=False, now=one.now())
            answer = await one.call('/safe/x', **BOUNDS)
            assert '200' in answer.first_line
