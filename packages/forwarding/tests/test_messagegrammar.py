"""Requests of a grammar, through real connections to a recording server."""

import asyncio
import contextlib
import os
from collections import Counter
from itertools import takewhile

import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings

from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.requestparser import RequestParser

from .messagegrammar import Fate, connections
from .world import ScriptedServer, World, reply

# FUZZ_SEED and FUZZ_STEPS choose the seed and the number of connections.
SEED = int(os.environ.get('FUZZ_SEED', '1'))
CONNECTIONS = int(os.environ.get('FUZZ_STEPS', '300'))
MUTANT_CONNECTIONS = 300
ANSWER_TIMEOUT_S = 5.0


class RecordingServer(ScriptedServer):
    """Keep what it runs; answer HEAD by the header alone."""

    def __init__(self):
        super().__init__(self._record)

    async def _record(self, seen, writer):
        whole = reply(seen, body=seen.request_id.encode())
        if seen.first_line.startswith('HEAD '):
            whole = whole.partition(b'\r\n\r\n')[0] + b'\r\n\r\n'
        writer.write(whole)


async def read_answer(reader, method):
    """Return the status and the body of the next answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode().split('\r\n')[:-2]
    fields = dict(line.lower().split(': ', 1) for line in lines)
    assert first.startswith('HTTP/1.1 '), first
    size = int(fields.get('content-length', 0))
    body = b'' if method == b'HEAD' else await reader.readexactly(size)
    return int(first.split()[1]), body


async def send(world, messages, sizes):
    """Send the bytes in packets; return the answers to them."""
    reader, writer = await world.connect()
    data = b''.join(message.raw for message in messages)
    answers = []

    async def write():
        with contextlib.suppress(ConnectionError):
            position = 0
            while position < len(data):
                size = sizes[position % len(sizes)]
                writer.write(data[position : position + size])
                await writer.drain()
                await asyncio.sleep(0)
                position += size

    writing = asyncio.create_task(write())
    with (
        contextlib.closing(writer),
        contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
    ):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            for message in messages:
                answers.append(await read_answer(reader, message.method))
                if message.fate is Fate.REFUSED:
                    break
        await writing
    return answers


async def check(world, server, messages, sizes):
    server.seen.clear()
    answers = await send(world, messages, sizes)
    framed = list(takewhile(lambda one: one.fate is not Fate.REFUSED, messages))
    ran = [
        (*seen.first_line.encode().split()[:2], seen.body)
        for seen in server.seen
    ]
    assert ran == [
        (one.method, one.path, one.body)
        for one in framed
        if one.fate is Fate.SERVED
    ]
    assert [status for status, _ in answers[: len(framed)]] == [
        200 if one.fate is Fate.SERVED else 404 for one in framed
    ]
    for message, (status, body) in zip(framed, answers, strict=False):
        number = message.path.rpartition(b'/')[2]
        if message.method == b'HEAD':
            assert not body
        elif status == 200:
            assert body == b'r' + number
    refused = answers[len(framed) :]
    has_refused = len(framed) < len(messages)
    # An answer before it closes the connection if the error is known by then.
    assert len(refused) == has_refused or (has_refused and framed)
    assert all(400 <= status < 600 for status, _ in refused)


def play(examples, forms=None, phases=tuple(Phase)):
    """Send `examples` connections; count the forms of their requests.

    Without `Phase.shrink` the first failure ends it.
    """

    @seed(SEED)
    @settings(
        max_examples=examples,
        phases=phases,
        report_multiple_bugs=False,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(connections())
    def send_one(drawn):
        messages, sizes = drawn
        if forms is not None:
            forms.update(message.form for message in messages)
        runner.run(check(world, server, messages, sizes))

    with asyncio.Runner() as runner:
        server = RecordingServer()
        world = World(server)
        runner.run(world.__aenter__())
        try:
            send_one()
        finally:
            runner.run(world.__aexit__(None, None, None))


class TestMessageGrammar:
    def test_server_runs_what_callers_framed(self):
        """Guards against bodies that run as requests, or get lost."""
        forms = Counter()
        play(CONNECTIONS, forms)
        print(f'{forms.total()} requests: {dict(forms.most_common())}')
        assert len(forms) >= 8


class TestKnownFaults:
    def test_lost_body_of_an_upgrade_is_found(self, monkeypatch):
        """Guards against a grammar that misses bodies that are lost."""

        def skip_body(parser):
            parser.on_message_complete()

        monkeypatch.setattr(RequestParser, '_repeat_header', skip_body)
        with pytest.raises((AssertionError, ExceptionGroup)):
            play(MUTANT_CONNECTIONS, phases=[Phase.generate])

    def test_body_of_an_answer_to_head_is_found(self, monkeypatch):
        """Guards against a grammar that misses bytes after an answer."""
        begin = Answer.__init__

        def forget_method(answer, *arguments, **options):
            begin(answer, *arguments, **{**options, 'is_to_head': False})

        monkeypatch.setattr(Answer, '__init__', forget_method)
        with pytest.raises((AssertionError, ExceptionGroup)):
            play(MUTANT_CONNECTIONS, phases=[Phase.generate])
