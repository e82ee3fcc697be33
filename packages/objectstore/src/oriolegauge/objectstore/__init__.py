"""Client of the platform's object store and host list."""

from oriolegauge.platform.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
)
from oriolegauge.platform.hoststatus import HostStatus
from oriolegauge.platform.objectstore import ObjectStore
from oriolegauge.platform.relayedstore import RelayedStore
from oriolegauge.platform.storedobject import StoredObject
from oriolegauge.platform.storerelay import (
    RelayAnswer,
    RelayCall,
    StoreRelay,
    answer_relay_call,
)

__all__ = (
    'HostStatus',
    'ObjectStore',
    'RelayAnswer',
    'RelayCall',
    'RelayedStore',
    'StoreAnswerLostError',
    'StoreError',
    'StoreRateLimitError',
    'StoreRelay',
    'StoreUnavailableError',
    'StoreUnreachableError',
    'StoredObject',
    'VersionConflictError',
    'answer_relay_call',
)
