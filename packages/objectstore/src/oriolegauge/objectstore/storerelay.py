"""Store calls that one daemon makes for another."""

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

# Two of the largest values fit into one message between daemons.
PAGE_BYTES = 512 * 1024


class StoreOperation(StrEnum):
    """Name a call of the store."""

    GET = 'get'
    PUT = 'put'
    LIST = 'list'
    HOSTS = 'hosts'


class RelayStatus(StrEnum):
    """State the result of a call made for another daemon."""

    OK = 'ok'
    MISSING = 'missing'
    CONFLICT = 'conflict'
    UNREACHABLE = 'unreachable'
    UNAVAILABLE = 'unavailable'
    RATE_LIMITED = 'rate_limited'
    ANSWER_LOST = 'answer_lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """Describe a call; the value is JSON.

    For LIST, the key is the prefix and the value names the last key of the
    page before.
    """

    operation: str
    key: str
    value: bytes = b''
    expected_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayAnswer:
    """Return the result of a call; the value is JSON."""

    status: str
    version: int = 0
    value: bytes = b''


class StoreRelay(Protocol):
    """Reach the store through another daemon."""

    async def relay(self, call: RelayCall) -> RelayAnswer:
        """Make the call through a peer that reaches the store.

        Raise an OriolegaugeError whose `run_state` is NOT_RUN only if the
        peer can't have received the call.
        """


async def answer_relay_call(store: ObjectStore, call: RelayCall) -> RelayAnswer:
    """Make the call of another daemon on this one's direct store."""
    try:
        return await _perform(store, call)
    except StoreError as error:
        return RelayAnswer(status=_status(error))


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


def _status(error: StoreError) -> RelayStatus:
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
