"""Simulated model engine with OpenAI-style routes."""

import asyncio
import json
import os
import time
from collections import deque
from typing import Any

from aiohttp import web

from oriolegauge.standins.batch import Batch, Stream
from oriolegauge.standins.server import arguments, serve

CRASH_MARK = '[crash]'
TEMPLATE_TOKENS_PER_MESSAGE = 4
EVENT_DELAY_S = 1.0


class Engine:
    """Serve completions from one batch and execute orders."""

    def __init__(self, name: str, models: list[str], *, fencing: bool) -> None:
        self.name = name
        self.models = set(models)
        self.fencing = fencing
        self.batch = Batch()
        self.highest_fence = 0
        self.orders: list[dict[str, Any]] = []
        self.role = 'both'
        self.leaving = False
        self.options: dict[str, float] = {'load_lag_s': 0.0, 'order_s': 0.2}
        self.reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=600)
        self.runs: dict[str, int] = {}

    def application(self) -> web.Application:
        app = web.Application(client_max_size=8_000_000)
        app.add_routes(
            [
                web.post('/v1/chat/completions', self.chat),
                web.post('/v1/completions', self.completion),
                web.get('/v1/models', self.list_models),
                web.get('/load', self.load),
                web.get('/cache-events', self.cache_events),
                web.post('/cancel/{id}', self.cancel),
                web.get('/kv/{id}', self.export_kv),
                web.post('/kv', self.import_kv),
                web.post('/orders', self.order),
                web.post('/admin/faults', self.set_faults),
                web.get('/admin/runs', self.get_runs),
            ]
        )
        app.cleanup_ctx.append(self._background)
        return app

    async def _background(self, app: web.Application):
        tasks = [
            asyncio.create_task(self.batch.run()),
            asyncio.create_task(self._record_load()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def _record_load(self) -> None:
        while True:
            report = {
                'active': len(self.batch.active),
                'waiting': len(self.batch.waiting),
                'generated': self.batch.generated,
            }
            self.reports.append((time.monotonic(), report))
            await asyncio.sleep(0.1)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        prompt = ''.join(
            f'<{row["role"]}>{row["content"]}' for row in body['messages']
        )
        extra = TEMPLATE_TOKENS_PER_MESSAGE * len(body['messages'])
        return await self._answer(request, body, prompt, extra, chat=True)

    async def completion(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        return await self._answer(request, body, body['prompt'], 0, chat=False)

    async def _answer(
        self,
        request: web.Request,
        body: dict[str, Any],
        prompt: str,
        extra_tokens: int,
        *,
        chat: bool,
    ) -> web.StreamResponse:
        if CRASH_MARK in prompt:
            await asyncio.sleep(0.05)
            os._exit(1)
        if body['model'] not in self.models:
            raise web.HTTPNotFound(text='model not loaded')
        request_id = request.headers.get('X-Request-Id', 'none')
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        stream = Stream(
            request_id,
            prompt,
            int(body.get('max_tokens') or 1_000_000),
            int(body.get('priority', 1)),
            int(body.get('resume_tokens', 0)),
        )
        prompt_tokens = len(prompt) // 4 + extra_tokens
        start = stream.position
        self.batch.add(stream)
        try:
            if body.get('stream'):
                return await self._streamed_answer(
                    request, body, stream, prompt_tokens, chat=chat
                )
            return await self._unstreamed_answer(
                body, stream, prompt_tokens, start, chat
            )
        finally:
            stream.cancelled = True

    async def _streamed_answer(
        self,
        request: web.Request,
        body: dict[str, Any],
        stream: Stream,
        prompt_tokens: int,
        *,
        chat: bool,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        kind = 'chat.completion.chunk' if chat else 'text_completion'
        head = (
            f'data: {{"id":"{stream.request_id}","object":"{kind}",'
            f'"created":{int(time.time())},"model":"{body["model"]}",'
        )
        while (token := await stream.tokens.get()) is not None:
            parts = [token]
            while not stream.tokens.empty():
                more = stream.tokens.get_nowait()
                if more is None:
                    stream.tokens.put_nowait(None)
                    break
                parts.append(more)
            await response.write(
                ''.join(
                    f'{head}"choices":[{{"index":0,{_delta(part, chat)},'
                    '"finish_reason":null}]}\n\n'
                    for part in parts
                ).encode()
            )
        usage = json.dumps(_usage(prompt_tokens, stream.position))
        finish = 'length' if stream.position >= stream.max_tokens else 'stop'
        await response.write(
            (
                f'{head}"choices":[{{"index":0,{_delta("", chat)},'
                f'"finish_reason":"{finish}"}}]}}\n\n'
                f'{head}"choices":[],"usage":{usage}}}\n\n'
                'data: [DONE]\n\n'
            ).encode()
        )
        return response

    async def _unstreamed_answer(
        self,
        body: dict[str, Any],
        stream: Stream,
        prompt_tokens: int,
        start: int,
        chat: bool,
    ) -> web.Response:
        parts: list[str] = []
        while (token := await stream.tokens.get()) is not None:
            parts.append(token)
        text = ''.join(parts)
        shape: dict[str, Any] = {'text': text}
        if chat:
            shape = {'message': {'role': 'assistant', 'content': text}}
        finish = 'length' if stream.position >= stream.max_tokens else 'stop'
        return web.json_response(
            {
                'id': stream.request_id,
                'object': 'chat.completion' if chat else 'text_completion',
                'created': int(time.time()),
                'model': body['model'],
                'choices': [{'index': 0, **shape, 'finish_reason': finish}],
                'usage': _usage(prompt_tokens, stream.position),
            }
        )

    async def list_models(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'object': 'list',
                'data': [
                    {'id': name, 'object': 'model'}
                    for name in sorted(self.models)
                ],
            }
        )

    async def load(self, request: web.Request) -> web.Response:
        horizon = time.monotonic() - self.options['load_lag_s']
        shown = {'active': 0, 'waiting': 0, 'generated': 0}
        for taken_at, report in self.reports:
            if taken_at <= horizon:
                shown = report
        return web.json_response(
            {
                **shown,
                'models': sorted(self.models),
                'role': self.role,
                'leaving': self.leaving,
            }
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        await asyncio.sleep(EVENT_DELAY_S)
        after = int(request.query.get('after', '0'))
        rows = [row for row in self.batch.cache.events if row['number'] > after]
        return web.json_response({'items': rows})

    async def cancel(self, request: web.Request) -> web.Response:
        found = self.batch.cancel(request.match_info['id'])
        return web.json_response({'cancelled': found})

    async def export_kv(self, request: web.Request) -> web.Response:
        for stream in self.batch.active:
            if stream.request_id == request.match_info['id']:
                return web.json_response(
                    {
                        'prompt': stream.prompt,
                        'position': stream.position,
                    }
                )
        raise web.HTTPNotFound

    async def import_kv(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.batch.cache.uncached_chars(body['prompt'])
        return web.json_response({'imported': True})

    async def order(self, request: web.Request) -> web.Response:
        order = await request.json()
        fence = int(order.get('fencing', 0))
        if self.fencing and fence < self.highest_fence:
            raise web.HTTPConflict(text='old fencing number')
        self.highest_fence = max(self.highest_fence, fence)
        await asyncio.sleep(self.options['order_s'])
        match order['kind']:
            case 'load_model':
                self.models.add(order['model'])
            case 'unload_model':
                self.models.discard(order['model'])
            case 'change_role':
                self.role = order['role']
            case 'load_adapter' | 'load_version':
                self.models.add(f'{order["model"]}:{order["version"]}')
            case _:
                raise web.HTTPBadRequest(text='unknown order')
        self.orders.append(order)
        return web.json_response({'models': sorted(self.models)})

    async def set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.batch.slow_factor = float(
            body.pop('slow_factor', self.batch.slow_factor)
        )
        self.leaving = bool(body.pop('leaving', self.leaving))
        self.options.update(body)
        return web.json_response(self.options)

    async def get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'runs': self.runs,
                'orders': self.orders,
                'generated': self.batch.generated,
                'cache_hits': self.batch.cache.hits,
                'cache_lookups': self.batch.cache.lookups,
            }
        )


def _delta(text: str, chat: bool) -> str:
    if chat:
        return f'"delta":{{"content":"{text}"}}'
    return f'"text":"{text}"'


def _usage(prompt_tokens: int, output_tokens: int) -> dict[str, int]:
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': output_tokens,
        'total_tokens': prompt_tokens + output_tokens,
    }


def main() -> None:
    """Run the simulated engine from the command line."""
    parser = arguments('engine')
    parser.add_argument('--models', default='toaster-7b')
    parser.add_argument('--ignore-fencing', action='store_true')
    options = parser.parse_args()
    engine = Engine(
        options.name,
        options.models.split(','),
        fencing=not options.ignore_fencing,
    )
    serve(engine.application(), options.host, options.port)


if __name__ == '__main__':
    main()
