"""Object store that is reached through a peer when the direct way is cut."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, TypeVar

import orjson

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.runstate import RunState
from oriolegauge.objectstore.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
)
from oriolegauge.objectstore.hoststatus import HostStatus
from oriolegauge.objectstore.objectstore import ObjectStore
from oriolegauge.objectstore.storedobject import StoredObject
from oriolegauge.objectstore.storerelay import (
    RelayAnswer,
    RelayCall,
    RelayStatus,
    StoreOperation,
    StoreRelay,
)

REMEMBER_S = 2.0
POLL_S = 1.0

Result = TypeVar('Result')


class RelayedStore:
    """Use the direct store, or a peer's while the direct one is unreachable.

    A store that refuses a call has been reached, so nothing is relayed then:
    peers would only repeat the load on a store in trouble.
    """

    def __init__(
        self,
        *,
        direct: ObjectStore,
        relay: StoreRelay,
        clock: Callable[[], float],
    ) -> None:
        """Remember on the clock (seconds) which way works."""
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._relay_until: float | None = None

    @property
    def is_relaying(self) -> bool:
        """State whether calls go through peers at the moment."""
        return self._relay_until is not None

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

        async def relayed() -> StoredObject | None:
            answer = await self._ask(
                RelayCall(operation=StoreOperation.GET, key=key)
            )
            if answer.status == RelayStatus.MISSING:
                return None
            return StoredObject(key, answer.version, orjson.loads(answer.value))

        return await self._call(lambda: self._direct.get(key), relayed)

    async def put(
        self,
        key: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> StoredObject:
        """Replace the object if its version is the expected one (0 creates).

        An answer lost on any part of the way is a StoreAnswerLostError.
        """

        async def relayed() -> StoredObject:
            answer = await self._ask(
                RelayCall(
                    operation=StoreOperation.PUT,
                    key=key,
                    value=orjson.dumps(value),
                    expected_version=expected_version,
                )
            )
            return StoredObject(key, answer.version, value)

        return await self._call(
            lambda: self._direct.put(key, value, expected_version), relayed
        )

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with the prefix."""
        return await self._call(
            lambda: self._direct.list_objects(prefix),
            lambda: self._relayed_list(prefix),
        )

    async def hosts(self) -> list[HostStatus]:
        """Return the host list, which lags behind reality."""

        async def relayed() -> list[HostStatus]:
            answer = await self._ask(
                RelayCall(operation=StoreOperation.HOSTS, key='')
            )
            return [HostStatus(**row) for row in orjson.loads(answer.value)]

        return await self._call(self._direct.hosts, relayed)

    async def watch(
        self,
        prefix: str,
        after: int,
    ) -> AsyncIterator[StoredObject]:
        """Yield each change under the prefix with a version above `after`.

        While calls are relayed, poll through a peer; changes of an object that
        follow each other between two polls are yielded as one.
        """
        versions: dict[str, int] = {}
        floor = after
        while True:
            if not self.is_relaying:
                async for stored in self._watch_direct(prefix, floor):
                    if stored.version > versions.get(stored.key, after):
                        versions[stored.key] = stored.version
                        yield stored
            # A list in pages is no snapshot: only what the list before has
            # shown is known to be complete.
            floor = max(versions.values(), default=after)
            for stored in await self._news(prefix, after, versions):
                versions[stored.key] = stored.version
                yield stored
            await asyncio.sleep(POLL_S)

    async def _news(
        self, prefix: str, after: int, versions: Mapping[str, int]
    ) -> list[StoredObject]:
        found = await self.list_objects(prefix)
        return sorted(
            (
                stored
                for stored in found
                if stored.version > versions.get(stored.key, after)
            ),
            key=lambda stored: stored.version,
        )

    async def _watch_direct(
        self, prefix: str, after: int
    ) -> AsyncIterator[StoredObject]:
        """Yield changes until the direct way is found to be cut.

        A cut that drops packets shows in other calls, not in a watch that
        waits, so the watch looks at them from time to time.
        """
        changes = aiter(self._direct.watch(prefix, after))
        waiting: asyncio.Future | None = None
        try:
            while not self.is_relaying:
                waiting = waiting or asyncio.ensure_future(anext(changes))
                await asyncio.wait({waiting}, timeout=POLL_S)
                if waiting.done():
                    stored = await waiting
                    waiting = None
                    yield stored
        except (StoreUnreachableError, StopAsyncIteration):
            # A store that ends a watch is asked again by the poll.
            return
        finally:
            await _stop(waiting)

    async def _relayed_list(self, prefix: str) -> list[StoredObject]:
        found: list[StoredObject] = []
        more = True
        while more:
            last = found[-1].key if found else ''
            answer = await self._ask(
                RelayCall(
                    operation=StoreOperation.LIST,
                    key=prefix,
                    value=last.encode(),
                )
            )
            found += [StoredObject(**row) for row in orjson.loads(answer.value)]
            more = bool(answer.version)
        return found

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result]],
        relayed: Callable[[], Awaitable[Result]],
    ) -> Result:
        if self._starts_with_relay():
            with contextlib.suppress(StoreUnreachableError):
                return await relayed()
            self._relay_until = None
        try:
            found = await direct()
        except StoreUnreachableError:
            return await self._fall_back(relayed)
        self._relay_until = None
        return found

    async def _fall_back(
        self, relayed: Callable[[], Awaitable[Result]]
    ) -> Result:
        self._relay_until = self._clock() + REMEMBER_S
        try:
            return await relayed()
        except StoreUnreachableError:
            self._relay_until = None
            raise

    def _starts_with_relay(self) -> bool:
        if self._relay_until is None:
            return False
        now = self._clock()
        if now < self._relay_until:
            return True
        # One call tries the direct way; the others stay with the relay, so
        # that a cut which drops packets delays only that one.
        self._relay_until = now + REMEMBER_S
        return False

    async def _ask(self, call: RelayCall) -> RelayAnswer:
        try:
            answer = await self._relay.relay(call)
        except OriolegaugeError as error:
            message = f'store call over a peer failed: {error.message}'
            if _may_be_applied(call, error):
                raise StoreAnswerLostError(message) from error
            raise StoreUnreachableError(message) from error
        if answer.status in {RelayStatus.OK, RelayStatus.MISSING}:
            return answer
        raise _error(call, answer.status)


def _may_be_applied(call: RelayCall, error: OriolegaugeError) -> bool:
    return (
        call.operation == StoreOperation.PUT
        and error.run_state is not RunState.NOT_RUN
    )


def _error(call: RelayCall, status: str) -> StoreError:
    match status:
        case RelayStatus.CONFLICT:
            return VersionConflictError('the object has changed')
        case RelayStatus.RATE_LIMITED:
            return StoreRateLimitError(
                'store call rate exceeded', retry_after_s=1
            )
        case RelayStatus.UNREACHABLE:
            return StoreUnreachableError('the peer does not reach the store')
        case RelayStatus.UNAVAILABLE:
            return StoreUnavailableError('the store refuses the call')
    if call.operation == StoreOperation.PUT:
        return StoreAnswerLostError(f'store call over a peer: {status}')
    return StoreUnavailableError(f'store call over a peer: {status}')


async def _stop(waiting: asyncio.Future | None) -> None:
    if waiting is None:
        return
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
