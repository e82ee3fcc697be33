"""Client of the platform's object store and host list."""

from oriolegauge.platform.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    VersionConflictError,
)
from oriolegauge.platform.hoststatus import HostStatus
from oriolegauge.platform.objectstore import ObjectStore
from oriolegauge.platform.storedobject import StoredObject

__all__ = (
    'HostStatus',
    'ObjectStore',
    'StoreAnswerLostError',
    'StoreError',
    'StoreRateLimitError',
    'StoreUnavailableError',
    'StoredObject',
    'VersionConflictError',
)
