"""Serve completions: reserve, dispatch, relay, settle."""

from collections.abc import Mapping
from typing import Any

import orjson
from aiohttp import web
from oriolegauge.backends import (
    BackendServer,
    EngineClient,
    EngineRequest,
    EngineStream,
    ServerConnectError,
)
from oriolegauge.backends.enginestream import parse_usage
from oriolegauge.budget import BudgetManager, Reservation, Settled
from oriolegauge.config import ConfigTree
from oriolegauge.core.errors import (
    ForbiddenError,
    InvalidRequestError,
    NoServerError,
)
from oriolegauge.daemon.callerrequest import CallerRequest

TOKENS_PER_MESSAGE = 16
MINIMUM_OUTPUT_TOKENS = 1
WILDCARD = '*'


class Completions:
    """Run one completion request from reservation to bill."""

    def __init__(
        self,
        *,
        tree: ConfigTree,
        budgets: BudgetManager,
        engines: EngineClient,
        default_max_tokens: int,
    ) -> None:
        """Use the given parts of the daemon."""
        self._tree = tree
        self._budgets = budgets
        self._engines = engines
        self._default_max_tokens = default_max_tokens
        self._in_flight: dict[str, int] = {}

    async def serve(
        self,
        http: web.Request,
        caller: CallerRequest,
        body: Mapping[str, Any],
    ) -> web.StreamResponse:
        """Answer the caller with a stream or a whole answer."""
        model = body.get('model')
        if not isinstance(model, str):
            raise InvalidRequestError('model must be a string')
        _check_allowed(caller, model)
        input_bound = input_token_bound(body)
        output = self._wanted_output(body)
        reservation = await self._budgets.reserve(
            budget=caller.budget,
            request_id=caller.request_id,
            tokens=input_bound + output,
            minimum=input_bound + MINIMUM_OUTPUT_TOKENS,
            deadline=caller.deadline,
        )
        request = EngineRequest(
            request_id=caller.request_id,
            path=http.path,
            body=body,
            max_tokens=reservation.tokens - input_bound,
            priority=caller.priority,
        )
        try:
            if body.get('stream'):
                return await self._stream(http, caller, request, reservation)
            return await self._whole(caller, request, reservation)
        except BaseException:
            self._budgets.release(reservation)
            raise

    def _wanted_output(self, body: Mapping[str, Any]) -> int:
        wanted = body.get('max_completion_tokens') or body.get('max_tokens')
        if wanted is None:
            return self._default_max_tokens
        if not isinstance(wanted, int) or wanted < 1:
            raise InvalidRequestError('max_tokens must be a positive integer')
        return wanted

    def _candidates(self, caller: CallerRequest, model: str):
        allowed = caller.settings.servers
        servers = [
            BackendServer(
                name=name,
                url=entry.url,
                zone=entry.zone,
                models=frozenset(entry.models),
                leaving=entry.leaving,
            )
            for name, entry in self._tree.servers.engines.items()
            if model in entry.models
            and not entry.leaving
            and (WILDCARD in allowed or name in allowed)
        ]
        if not servers:
            raise NoServerError(f'no server offers {model}', retry_after_s=1)
        return sorted(servers, key=lambda one: self._in_flight.get(one.name, 0))

    async def _whole(
        self,
        caller: CallerRequest,
        request: EngineRequest,
        reservation: Reservation,
    ) -> web.Response:
        answer = None
        for server in self._candidates(caller, request.body['model']):
            try:
                answer = await self._engines.whole(server, request)
            except ServerConnectError:
                continue
            break
        if answer is None:
            raise NoServerError('all servers unreachable', retry_after_s=1)
        usage = parse_usage(answer.get('usage', {}))
        settled = await self._budgets.settle(
            reservation, usage.total, keyed=caller.keyed
        )
        answer['oriolegauge'] = bill_of(caller, settled)
        return web.json_response(
            body=orjson.dumps(answer),
            headers=bill_headers(caller, settled),
        )

    async def _stream(
        self,
        http: web.Request,
        caller: CallerRequest,
        request: EngineRequest,
        reservation: Reservation,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                'X-Request-Id': caller.request_id,
            }
        )
        for server in self._candidates(caller, request.body['model']):
            try:
                async with self._engines.stream(server, request) as stream:
                    await response.prepare(http)
                    async for events in stream.events_before_tail():
                        await response.write(events)
                    tail = stream.tail()
            except ServerConnectError:
                continue
            settled = await self._settle_stream(caller, reservation, stream)
            asked = (request.body.get('stream_options') or {}).get(
                'include_usage'
            )
            await response.write(
                final_events(tail, bill_of(caller, settled), bool(asked))
            )
            await response.write_eof()
            return response
        raise NoServerError('all servers unreachable', retry_after_s=1)

    async def _settle_stream(
        self,
        caller: CallerRequest,
        reservation: Reservation,
        stream: EngineStream,
    ) -> Settled:
        total = stream.usage.total if stream.usage else reservation.tokens
        return await self._budgets.settle(
            reservation, total, keyed=caller.keyed
        )


def input_token_bound(body: Mapping[str, Any]) -> int:
    """Return an upper bound on the input tokens of a completion body.

    A token covers at least one byte; each message adds template tokens.
    """
    messages = body.get('messages')
    if messages is None:
        prompt = body.get('prompt', '')
        if not isinstance(prompt, str):
            raise InvalidRequestError('prompt must be a string')
        return len(prompt.encode()) + TOKENS_PER_MESSAGE
    if not isinstance(messages, list):
        raise InvalidRequestError('messages must be a list')
    return sum(
        len(orjson.dumps(message)) + TOKENS_PER_MESSAGE for message in messages
    )


def bill_of(caller: CallerRequest, settled: Settled) -> dict[str, Any]:
    """Return the bill that each answer carries."""
    return {
        'request_id': caller.request_id,
        'billed_tokens': settled.billed,
        'budget_left': settled.left,
    }


def bill_headers(caller: CallerRequest, settled: Settled) -> dict[str, str]:
    """Return the bill as headers of a whole answer."""
    return {
        'X-Request-Id': caller.request_id,
        'X-Billed-Tokens': str(settled.billed),
        'X-Budget-Left': str(settled.left),
    }


def final_events(
    tail: list[dict[str, Any]], bill: dict[str, Any], with_usage: bool
) -> bytes:
    """Return the last events with the bill, and the end marker."""
    parts = []
    for event in tail:
        if event.get('choices') or with_usage:
            parts.append(orjson.dumps({**event, 'oriolegauge': bill}))
    return b''.join(b'data: %b\n\n' % part for part in parts) + (
        b'data: [DONE]\n\n'
    )


def _check_allowed(caller: CallerRequest, model: str) -> None:
    allowed = caller.settings.models
    if WILDCARD not in allowed and model not in allowed:
        raise ForbiddenError(f'model {model} is not allowed for this team')
