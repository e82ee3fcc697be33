"""Client of the platform's object store and host list."""

from oriolegauge.objectstore.errors import (
    HistoryLostError,
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
)
from oriolegauge.objectstore.hoststatus import HostStatus
from oriolegauge.objectstore.kindstore import Changes, KindStore, Snapshot
from oriolegauge.objectstore.objectstore import ObjectStore
from oriolegauge.objectstore.relayedstore import RelayedStore
from oriolegauge.objectstore.restorablestore import RestorableStore
from oriolegauge.objectstore.storedobject import StoredObject
from oriolegauge.objectstore.storerelay import (
    RelayAnswer,
    RelayCall,
    StoreRelay,
    answer_relay_call,
)
from oriolegauge.objectstore.storeversion import (
    era_of,
    revision_of,
    store_version,
)

__all__ = (
    'Changes',
    'HistoryLostError',
    'HostStatus',
    'KindStore',
    'ObjectStore',
    'RelayAnswer',
    'RelayCall',
    'RelayedStore',
    'RestorableStore',
    'Snapshot',
    'StoreAnswerLostError',
    'StoreError',
    'StoreRateLimitError',
    'StoreRelay',
    'StoreUnavailableError',
    'StoreUnreachableError',
    'StoredObject',
    'VersionConflictError',
    'answer_relay_call',
    'era_of',
    'revision_of',
    'store_version',
)
