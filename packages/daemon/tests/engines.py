"""Engines that fall silent, and completions that run on them."""

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator, Mapping
from types import SimpleNamespace

import aiohttp
from aiohttp import web

from oriolegauge.backends import EngineClient
from oriolegauge.budget import Reservation, Settled
from oriolegauge.core import Priority
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.completions import Completions
from oriolegauge.daemon.dispatcher import Dispatcher
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.routing.serverhealth import FAILURES_TO_EJECT

MODEL = 'm'
OUTPUT_TOKENS = 6
EVENT_PERIOD_S = 0.01
SILENT_AT = 3


class Engine:
    """Answer with the tokens t0 to t5 of this engine.

    Each run takes a silence in seconds from `silences`, which engines may
    share: nothing is sent for that time before the token with the number
    SILENT_AT, or before a whole answer. The connection of a stream is lost
    before the token `lost_at`.
    """

    def __init__(
        self,
        name: str,
        *,
        silences: list[float] | None = None,
        lost_at: int | None = None,
        can_resume: bool = True,
    ) -> None:
        self.name = name
        self.silences = [] if silences is None else silences
        self.lost_at = lost_at
        self.can_resume = can_resume
        self.runs = 0
        self.silent = False
        self.answered = 0
        self.resumed_at: list[int] = []
        self.url = ''

    async def complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.runs += 1
        if body.get('stream'):
            return await self.stream(request, body)
        await asyncio.sleep(self.next_silence_s())
        self.answered += 1
        return web.json_response({'usage': usage(), 'choices': []})

    def next_silence_s(self) -> float:
        return self.silences.pop(0) if self.silences else 0

    async def stream(
        self, request: web.Request, body: Mapping[str, object]
    ) -> web.StreamResponse:
        silence_s = self.next_silence_s()
        response = web.StreamResponse()
        await response.prepare(request)
        # An engine that cannot resume ignores the field.
        start = int(body.get('resume_tokens', 0)) if self.can_resume else 0
        self.resumed_at.append(int(body.get('resume_tokens', 0)))
        for number in range(start, OUTPUT_TOKENS):
            if number == self.lost_at:
                request.transport.abort()
            if number == SILENT_AT:
                self.silent = True
                await asyncio.sleep(silence_s)
                self.silent = False
            await response.write(event({'delta': f't{number} '}))
            await asyncio.sleep(EVENT_PERIOD_S)
        await response.write(event({'usage': usage()}) + b'data: [DONE]\n\n')
        self.answered += 1
        return response


def usage() -> dict[str, int]:
    return {'prompt_tokens': 1, 'completion_tokens': OUTPUT_TOKENS}


def event(fields: Mapping[str, object]) -> bytes:
    body = json.dumps(fields, separators=(',', ':'))
    return f'data: {body}\n\n'.encode()


class Sink:
    """Keep an answer in memory."""

    def __init__(self) -> None:
        self.started = False
        self.is_disconnected = False
        self.body = b''

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        return

    @property
    def tokens(self) -> list[str]:
        lines = [line for line in self.body.splitlines() if b'"delta"' in line]
        return [
            json.loads(line.removeprefix(b'data: '))['delta'].strip()
            for line in lines
        ]


class Budgets:
    """Grant every reservation."""

    async def reserve(self, *, budget, request_id, tokens, **_):
        return Reservation(budget, request_id, tokens, 'd1/1')

    async def settle(self, reservation, tokens, *, keyed):
        return Settled(tokens, 1000)

    def release(self, reservation) -> None:
        return


class Guard:
    """Permit every request."""

    def __init__(self) -> None:
        self.crashes: list[str] = []

    def refuse_quarantined(self, fingerprint: str) -> None:
        return

    @contextlib.asynccontextmanager
    async def track_request(self, fingerprint: str, server: str):
        yield

    async def report_crash(self, server: str, started_at: float) -> None:
        self.crashes.append(server)

    async def clear_suspect(self, fingerprint: str) -> None:
        return


class Fleet:
    """Engines with the completions and the dispatcher of one daemon."""

    def __init__(
        self,
        engines: tuple[Engine, ...],
        session: aiohttp.ClientSession,
        *,
        idle_timeout_s: float,
        retry_share: float,
    ) -> None:
        entries = {
            engine.name: SimpleNamespace(
                url=engine.url,
                zone='a',
                models=(MODEL,),
                leaving=False,
                obeys_fencing=True,
                can_resume=engine.can_resume,
            )
            for engine in engines
        }
        tree = SimpleNamespace(servers=SimpleNamespace(engines=entries))
        self.dispatcher = Dispatcher(
            pool=ServerPool(tree=tree, is_leaving=lambda _: False),
            zone='a',
            rng=random.Random(1),
            clock=asyncio.get_running_loop().time,
        )
        self.dispatcher.set_shares(retry=retry_share, hedge=0)
        self.guard = Guard()
        budgets = Budgets()
        self._completions = Completions(
            budgets=budgets,
            grants=budgets,
            engines=EngineClient(
                session=session, idle_timeout_s=idle_timeout_s
            ),
            dispatcher=self.dispatcher,
            guard=self.guard,
            default_max_tokens=lambda: OUTPUT_TOKENS,
        )

    def use_up_retries(self) -> None:
        """Take the retries that the budget holds at the start."""
        while self.dispatcher._retries.retry(1) is not None:
            continue

    def eject(self, name: str) -> None:
        """Record as many failures of a server as eject it."""
        router = self.dispatcher.queue._router
        now = asyncio.get_running_loop().time()
        for _ in range(FAILURES_TO_EJECT):
            router.started(name, 1, now)
            router.finished(name, False, now, tokens=1)

    async def ask(
        self,
        *,
        stream: bool = False,
        non_idempotent: bool = False,
        deadline_s: float = 5,
        servers: tuple[str, ...] = ('*',),
    ) -> Sink:
        """Return the answer to one request."""
        sink = Sink()
        body = {'model': MODEL, 'prompt': 'p', 'stream': stream}
        caller = CallerRequest(
            request_id='t:r',
            team='t',
            budget='t/main',
            priority=Priority.NORMAL,
            deadline=asyncio.get_running_loop().time() + deadline_s,
            keyed=False,
            non_idempotent=non_idempotent,
            settings=SimpleNamespace(models=('*',), servers=servers),
        )
        call = CallerCall(
            method='POST',
            path='/v1/completions',
            headers={},
            body=json.dumps(body).encode(),
        )
        await self._completions.serve(sink, caller, call)
        return sink


@contextlib.asynccontextmanager
async def running_fleet(
    *engines: Engine, idle_timeout_s: float = 0.2, retry_share: float = 0
) -> AsyncIterator[Fleet]:
    async with (
        contextlib.AsyncExitStack() as stack,
        asyncio.TaskGroup() as group,
    ):
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for engine in engines:
            app = web.Application()
            app.router.add_post('/v1/completions', engine.complete)
            runner = web.AppRunner(app, shutdown_timeout=0.1)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, '127.0.0.1', 0).start()
            engine.url = f'http://127.0.0.1:{runner.addresses[0][1]}'
        fleet = Fleet(
            engines,
            session,
            idle_timeout_s=idle_timeout_s,
            retry_share=retry_share,
        )
        expiry = group.create_task(fleet.dispatcher.queue.expire_periodically())
        yield fleet
        expiry.cancel()
