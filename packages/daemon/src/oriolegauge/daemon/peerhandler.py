"""Dispatch the messages of other daemons and return the answers."""

from collections.abc import AsyncIterator, Awaitable, Callable

import orjson

from oriolegauge.budget import BudgetManager
from oriolegauge.budget.messages import (
    JournalAppend,
    JournalQuery,
    Recall,
    Release,
    Reserve,
    Settle,
)
from oriolegauge.config import ConfigTree
from oriolegauge.core.errors import NotFoundError
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.crashguard import CrashGuard
from oriolegauge.daemon.forwarder import PartsSink, received_call
from oriolegauge.objectstore import ObjectStore
from oriolegauge.objectstore.storerelay import RelayCall, answer_relay_call
from oriolegauge.routing.crashquarantine import CrashReport
from oriolegauge.wire import Sender
from oriolegauge.wire.messages import (
    ConfigFetch,
    ConfigObject,
    ConfigObjects,
    Forward,
    Heartbeat,
    Message,
    StoreAnswer,
    StoreCall,
    SuspectClaim,
    SuspectRelease,
)

ServeCall = Callable[[AnswerSink, CallerCall], Awaitable[None]]
Answer = Message | AsyncIterator[Message] | None


class PeerHandler:
    """Pass each message to the part of the daemon that handles it."""

    def __init__(
        self,
        *,
        budgets: BudgetManager,
        tree: ConfigTree,
        guard: CrashGuard,
        store: ObjectStore,
        serve: ServeCall,
        on_heartbeat: Callable[[], None],
    ) -> None:
        """Relay store calls to `store`, serve forwarded calls with `serve`."""
        self._budgets = budgets
        self._tree = tree
        self._guard = guard
        self._store = store
        self._serve = serve
        self._on_heartbeat = on_heartbeat

    async def answer(self, sender: Sender, message: Message) -> Answer:
        """Return the answer to a message, or None for a plain Ack."""
        match message:
            case Heartbeat():
                self._on_heartbeat()
                return None
            case ConfigFetch():
                return self._config(message)
            case Forward():
                return self._forwarded(message)
            case StoreCall():
                return await self._relayed(message)
            case CrashReport():
                self._guard.merge(message)
                return None
            case SuspectClaim():
                return self._guard.handle_suspect_claim(message)
            case SuspectRelease():
                return self._guard.handle_suspect_release(message)
            case _:
                return await self._budget(message)

    async def _budget(self, message: Message) -> Message:
        match message:
            case Reserve():
                return await self._budgets.handle_reserve(message)
            case Settle():
                return await self._budgets.handle_settle(message)
            case Release():
                return await self._budgets.handle_release(message)
            case Recall():
                return await self._budgets.handle_recall(message)
            case JournalAppend():
                return await self._budgets.handle_journal_append(message)
            case JournalQuery():
                return await self._budgets.handle_journal_query(message)
            case _:
                raise NotFoundError(f'no handler for {type(message).__name__}')

    async def _relayed(self, message: StoreCall) -> StoreAnswer:
        answer = await answer_relay_call(
            self._store,
            RelayCall(
                operation=message.operation,
                key=message.key,
                value=message.value,
                expected_version=message.expected_version,
            ),
        )
        return StoreAnswer(
            status=answer.status, version=answer.version, value=answer.value
        )

    def _config(self, message: ConfigFetch) -> ConfigObjects:
        found = [self._tree.stored(key) for key in message.keys]
        return ConfigObjects(
            objects=tuple(
                ConfigObject(
                    key=stored.key,
                    version=stored.version,
                    value=orjson.dumps(stored.value),
                )
                for stored in found
                if stored is not None
            )
        )

    def _forwarded(self, message: Forward) -> AsyncIterator[Message]:
        call = received_call(message)
        return PartsSink().parts(lambda sink: self._serve(sink, call))
