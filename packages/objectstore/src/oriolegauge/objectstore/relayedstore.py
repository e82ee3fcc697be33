"""Object store client that falls back to a peer.

Keeps a daemon working that lost its connection to the store while its peers
still reach it. A write whose reply is lost is not repeated on the other path.
"""

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

# How long calls go through a peer before one tries the direct path again.
RELAY_PREFERENCE_S = 2.0
POLL_INTERVAL_S = 1.0

Result = TypeVar('Result')


class RelayedStore:
    """Call the store directly, or through a peer while it is unreachable.

    A call that the store rejected is not relayed: a peer reaches the same
    store and would only add load to one that is failing.
    """

    def __init__(
        self,
        *,
        direct: ObjectStore,
        relay: StoreRelay,
        clock: Callable[[], float],
    ) -> None:
        """Use `clock` (seconds) to choose when to retry the direct path."""
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._relay_until: float | None = None

    @property
    def is_relaying(self) -> bool:
        """Return whether calls currently go through a peer."""
        return self._relay_until is not None

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

        async def relayed() -> StoredObject | None:
            answer = await self._relay_call(
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

        Raise StoreAnswerLostError if a reply is lost anywhere on the path.
        """

        async def relayed() -> StoredObject:
            answer = await self._relay_call(
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
        """Return the host list, which may be stale."""

        async def relayed() -> list[HostStatus]:
            answer = await self._relay_call(
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

        While calls are relayed, poll through a peer; of several changes of an
        object between two polls only the last is yielded.
        """
        versions: dict[str, int] = {}
        floor = after
        while True:
            if not self.is_relaying:
                async for stored in self._watch_direct(prefix, floor):
                    if stored.version > versions.get(stored.key, after):
                        versions[stored.key] = stored.version
                        yield stored
            # A list read in pages is no snapshot: only the changes that the
            # previous list showed are known to be complete.
            floor = max(versions.values(), default=after)
            for stored in await self._unseen_changes(prefix, after, versions):
                versions[stored.key] = stored.version
                yield stored
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _unseen_changes(
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
        """Yield changes until the direct path fails.

        A waiting watch does not notice a path that drops packets, but other
        calls time out and switch to the relay, so check for that regularly.
        """
        changes = aiter(self._direct.watch(prefix, after))
        pending: asyncio.Future | None = None
        try:
            while not self.is_relaying:
                pending = pending or asyncio.ensure_future(anext(changes))
                await asyncio.wait({pending}, timeout=POLL_INTERVAL_S)
                if pending.done():
                    stored = await pending
                    pending = None
                    yield stored
        except (StoreUnreachableError, StopAsyncIteration):
            # After the store has ended the watch, the caller polls it.
            return
        finally:
            await _cancel_and_wait(pending)

    async def _relayed_list(self, prefix: str) -> list[StoredObject]:
        found: list[StoredObject] = []
        more = True
        while more:
            last = found[-1].key if found else ''
            answer = await self._relay_call(
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
        if self._should_relay_first():
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
        self._relay_until = self._clock() + RELAY_PREFERENCE_S
        try:
            return await relayed()
        except StoreUnreachableError:
            self._relay_until = None
            raise

    def _should_relay_first(self) -> bool:
        if self._relay_until is None:
            return False
        now = self._clock()
        if now < self._relay_until:
            return True
        # One call tries the direct path while the others use the relay, so
        # that a path that drops packets delays only that call.
        self._relay_until = now + RELAY_PREFERENCE_S
        return False

    async def _relay_call(self, call: RelayCall) -> RelayAnswer:
        try:
            answer = await self._relay.relay(call)
        except OriolegaugeError as error:
            message = f'store call through a peer failed: {error.message}'
            if _may_be_applied(call, error):
                raise StoreAnswerLostError(message) from error
            raise StoreUnreachableError(message) from error
        if answer.status in {RelayStatus.OK, RelayStatus.MISSING}:
            return answer
        raise _error_of_status(call, answer.status)


def _may_be_applied(call: RelayCall, error: OriolegaugeError) -> bool:
    return (
        call.operation == StoreOperation.PUT
        and error.run_state is not RunState.NOT_RUN
    )


def _error_of_status(call: RelayCall, status: str) -> StoreError:
    match status:
        case RelayStatus.CONFLICT:
            return VersionConflictError('the object has changed')
        case RelayStatus.RATE_LIMITED:
            return StoreRateLimitError(
                'store call rate exceeded', retry_after_s=1
            )
        case RelayStatus.UNREACHABLE:
            return StoreUnreachableError('the peer cannot reach the store')
        case RelayStatus.UNAVAILABLE:
            return StoreUnavailableError('the store rejected the call')
    if call.operation == StoreOperation.PUT:
        return StoreAnswerLostError(f'store call through a peer: {status}')
    return StoreUnavailableError(f'store call through a peer: {status}')


async def _cancel_and_wait(pending: asyncio.Future | None) -> None:
    if pending is None:
        return
    pending.cancel()
    await asyncio.gather(pending, return_exceptions=True)
