"""Make store calls for peers that cannot reach the store."""

from collections.abc import Awaitable, Callable

import orjson

from oriolegauge.platform import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    VersionConflictError,
)
from oriolegauge.wire.messages import StoreAnswer, StoreCall

OK = 'ok'
MISSING = 'missing'
# Names of the errors on the wire; anything else counts as unavailable.
ERRORS: dict[str, type[StoreError]] = {
    'conflict': VersionConflictError,
    'rate_limited': StoreRateLimitError,
    'lost': StoreAnswerLostError,
    'unavailable': StoreUnavailableError,
}
_NAMES = {kind: name for name, kind in ERRORS.items()}

_Operation = Callable[[ObjectStore, StoreCall], Awaitable[StoreAnswer]]


async def answer_store_call(store: ObjectStore, call: StoreCall) -> StoreAnswer:
    """Make the call on the own store client and return its result."""
    operation = OPERATIONS.get(call.operation)
    if operation is None:
        return StoreAnswer(status='unavailable')
    try:
        return await operation(store, call)
    except StoreError as error:
        return StoreAnswer(status=_NAMES.get(type(error), 'unavailable'))


async def _get(store: ObjectStore, call: StoreCall) -> StoreAnswer:
    found = await store.get(call.key)
    if found is None:
        return StoreAnswer(status=MISSING)
    return StoreAnswer(
        status=OK, version=found.version, value=orjson.dumps(found.value)
    )


async def _put(store: ObjectStore, call: StoreCall) -> StoreAnswer:
    stored = await store.put(
        call.key, orjson.loads(call.value), call.expected_version
    )
    return StoreAnswer(status=OK, version=stored.version)


async def _list(store: ObjectStore, call: StoreCall) -> StoreAnswer:
    rows = [_row(found) for found in await store.list_objects(call.key)]
    return StoreAnswer(status=OK, value=orjson.dumps(rows))


async def _hosts(store: ObjectStore, call: StoreCall) -> StoreAnswer:
    return StoreAnswer(status=OK, value=orjson.dumps(await store.hosts()))


def _row(found: StoredObject) -> dict[str, object]:
    return {'key': found.key, 'version': found.version, 'value': found.value}


OPERATIONS: dict[str, _Operation] = {
    'get': _get,
    'put': _put,
    'list': _list,
    'hosts': _hosts,
}
