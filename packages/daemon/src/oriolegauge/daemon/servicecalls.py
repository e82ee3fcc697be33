"""Serve calls to plain HTTP services.

Each call costs a fixed number of tokens. Calls whose connection fails are
retried on another server if that can't run non-idempotent work twice.
"""

import asyncio
from dataclasses import dataclass
from urllib.parse import urlsplit

from oriolegauge.admission import DeadlineUnreachableError
from oriolegauge.backends import (
    BackendServer,
    ServerConnectError,
    ServerConnectionLostError,
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)
from oriolegauge.budget import BudgetManager, Reservation, Settled
from oriolegauge.config import ConfigTree, Service
from oriolegauge.core.errors import (
    ForbiddenError,
    NotFoundError,
    OriolegaugeError,
    OutcomeUnknownError,
)
from oriolegauge.core.runstate import RunState
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.bill import bill_headers
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.dispatcher import Dispatcher
from oriolegauge.daemon.lostgrants import LostGrants

ROUTE_PREFIX = '/services/'
MAX_ATTEMPTS = 3
HTTP_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTarget:
    """Hold the service, path and idempotency of one call."""

    name: str
    service: Service
    path: str
    non_idempotent: bool


class ServiceCalls:
    """Run service calls from reservation to bill."""

    def __init__(
        self,
        *,
        tree: ConfigTree,
        budgets: BudgetManager,
        grants: LostGrants,
        services: ServiceClient,
        dispatcher: Dispatcher,
    ) -> None:
        """Use the given parts of the daemon."""
        self._tree = tree
        self._budgets = budgets
        self._grants = grants
        self._services = services
        self._dispatcher = dispatcher

    def target(self, caller: CallerRequest, call: CallerCall) -> ServiceTarget:
        """Return the target; raise NotFoundError or ForbiddenError."""
        name, _, rest = call.path.removeprefix(ROUTE_PREFIX).partition('/')
        service = self._tree.services.services.get(name)
        if service is None:
            raise NotFoundError(f'service {name} is not configured')
        allowed = caller.settings.services
        if '*' not in allowed and name not in allowed:
            raise ForbiddenError(f'service {name} is not allowed')
        is_method_non_idempotent = call.method in service.non_idempotent_methods
        return ServiceTarget(
            name=name,
            service=service,
            path=f'/{rest}',
            non_idempotent=is_method_non_idempotent or caller.non_idempotent,
        )

    async def serve(
        self, sink: AnswerSink, caller: CallerRequest, call: CallerCall
    ) -> ServiceAnswer:
        """Write the answer with its bill to the sink and return it."""
        target = self.target(caller, call)
        price = target.service.tokens_per_call
        self._dispatcher.count_request()
        reservation = await self._grants.reserve(
            budget=caller.budget,
            request_id=caller.request_id,
            tokens=price,
            minimum=price,
            deadline=caller.deadline,
        )
        try:
            async with asyncio.timeout_at(caller.deadline):
                answer = await self._run_attempts(caller, call, target)
        except TimeoutError as error:
            self._budgets.release(reservation)
            raise _deadline_passed(target) from error
        except BaseException:
            self._budgets.release(reservation)
            raise
        settled = await self._settle(reservation, answer, caller, price)
        headers = bill_headers(caller.request_id, settled)
        await sink.start(answer.status, {**answer.headers, **headers})
        await sink.write(answer.body)
        await sink.finish()
        return answer

    async def _settle(
        self,
        reservation: Reservation,
        answer: ServiceAnswer,
        caller: CallerRequest,
        price: int,
    ) -> Settled:
        # A call that failed in the service is not billed.
        failed = answer.status >= HTTP_SERVER_ERROR
        return await self._budgets.settle(
            reservation, 0 if failed else price, keyed=caller.keyed
        )

    async def _run_attempts(
        self, caller: CallerRequest, call: CallerCall, target: ServiceTarget
    ) -> ServiceAnswer:
        outgoing = ServiceCall(
            request_id=caller.request_id,
            method=call.method,
            path=target.path,
            headers=call.headers,
            body=call.body,
            timeout_s=target.service.timeout_s,
            repeatable=not target.non_idempotent,
        )
        failure: ServerConnectError | ServerConnectionLostError = (
            ServerConnectError(f'service {target.name} has no server')
        )
        for number in range(MAX_ATTEMPTS):
            if number:
                await self._dispatcher.wait_before_retry(number, failure)
            server = self._dispatcher.choose_service_server(
                target.name, target.service.urls
            )
            try:
                return await self._call(server, outgoing)
            except ServerConnectError as error:
                failure = error
            except ServerConnectionLostError as error:
                if target.non_idempotent:
                    raise OutcomeUnknownError(
                        f'connection lost after dispatch: {error.message}'
                    ) from error
                failure = error
        raise failure

    async def _call(
        self, server: BackendServer, outgoing: ServiceCall
    ) -> ServiceAnswer:
        try:
            answer = await self._services.call(server, outgoing)
        except (ServerConnectError, ServerConnectionLostError):
            self._dispatcher.record_service_result(server.name, ok=False)
            raise
        self._dispatcher.record_service_result(server.name, ok=True)
        return answer


def is_service_path(path: str) -> bool:
    """Return whether the path addresses a plain service."""
    return urlsplit(path).path.startswith(ROUTE_PREFIX)


def _deadline_passed(target: ServiceTarget) -> OriolegaugeError:
    if target.non_idempotent:
        return OutcomeUnknownError('the deadline passed after dispatch')
    return DeadlineUnreachableError(
        'the deadline passed', run_state=RunState.UNKNOWN, retry_after_s=1
    )
