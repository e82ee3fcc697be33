"""Store calls that a daemon makes for a peer that can't reach the store."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, Protocol

import orjson

from oriolegauge.objectstore.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
)
from oriolegauge.objectstore.objectstore import ObjectStore
from oriolegauge.objectstore.storedobject import StoredObject

# Page size of a list; two of the largest values fit into one message between
# daemons.
PAGE_BYTES = 512 * 1024


class StoreOperation(StrEnum):
    """Name the operation of a store call."""

    GET = 'get'
    PUT = 'put'
    LIST = 'list'
    HOSTS = 'hosts'


class RelayStatus(StrEnum):
    """Name the result of a call made for a peer."""

    OK = 'ok'
    MISSING = 'missing'
    CONFLICT = 'conflict'
    UNREACHABLE = 'unreachable'
    UNAVAILABLE = 'unavailable'
    RATE_LIMITED = 'rate_limited'
    ANSWER_LOST = 'answer_lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """Describe a store call; the value is JSON.

    For LIST, the key is the prefix and the value is the last key of the
    previous page.
    """

    operation: str
    key: str
    value: bytes = b''
    expected_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayAnswer:
    """Hold the result of a store call; the value is JSON.

    For LIST, a `version` of 1 states that more pages follow.
    """

    status: str
    version: int = 0
    value: bytes = b''


class StoreRelay(Protocol):
    """Send store calls to a peer."""

    async def relay(self, call: RelayCall) -> RelayAnswer:
        """Have a peer make the call and return its result.

        Raise an OriolegaugeError if that fails; its `run_state` is NOT_RUN
        only if the peer can't have received the call.
        """


async def answer_relay_call(store: ObjectStore, call: RelayCall) -> RelayAnswer:
    """Make the call of a peer on the direct store of this daemon."""
    try:
        return await _perform(store, call)
    except StoreError as error:
        return RelayAnswer(status=_status_of(error))


async def _perform(store: ObjectStore, call: RelayCall) -> RelayAnswer:
    match call.operation:
        case StoreOperation.GET:
            found = await store.get(call.key)
            if found is None:
                return RelayAnswer(status=RelayStatus.MISSING)
            return _with_value(found)
        case StoreOperation.PUT:
            stored = await store.put(
                call.key, orjson.loads(call.value), call.expected_version
            )
            return RelayAnswer(status=RelayStatus.OK, version=stored.version)
        case StoreOperation.LIST:
            return _page(await store.list_objects(call.key), call.value)
        case StoreOperation.HOSTS:
            rows = [asdict(host) for host in await store.hosts()]
            return RelayAnswer(status=RelayStatus.OK, value=orjson.dumps(rows))
        case _:
            return RelayAnswer(status=RelayStatus.UNAVAILABLE)


def _with_value(found: StoredObject) -> RelayAnswer:
    return RelayAnswer(
        status=RelayStatus.OK,
        version=found.version,
        value=orjson.dumps(found.value),
    )


def _page(found: list[StoredObject], after: bytes) -> RelayAnswer:
    last = after.decode()
    rows: list[bytes] = []
    size = 0
    more = False
    for stored in sorted(found, key=lambda entry: entry.key):
        if stored.key <= last:
            continue
        row = orjson.dumps(_row(stored))
        if rows and size + len(row) > PAGE_BYTES:
            more = True
            break
        rows.append(row)
        size += len(row)
    return RelayAnswer(
        status=RelayStatus.OK,
        version=int(more),
        value=b'[%b]' % b','.join(rows),
    )


def _row(stored: StoredObject) -> Mapping[str, Any]:
    return {
        'key': stored.key,
        'version': stored.version,
        'value': stored.value,
    }


def _status_of(error: StoreError) -> RelayStatus:
    match error:
        case VersionConflictError():
            return RelayStatus.CONFLICT
        case StoreRateLimitError():
            return RelayStatus.RATE_LIMITED
        case StoreAnswerLostError():
            return RelayStatus.ANSWER_LOST
        case StoreUnreachableError():
            return RelayStatus.UNREACHABLE
        case StoreUnavailableError():
            return RelayStatus.UNAVAILABLE
        case _:
            return RelayStatus.ANSWER_LOST
