"""Fakes for tests; never imported by the product."""

from oriolegauge.testkit.memorynetwork import (
    LinkLostError,
    MemoryNetwork,
    MemoryPeers,
)
from oriolegauge.testkit.memoryobjectstore import MemoryObjectStore, StoreFault
from oriolegauge.testkit.storeclient import StoreClient

__all__ = (
    'LinkLostError',
    'MemoryNetwork',
    'MemoryObjectStore',
    'MemoryPeers',
    'StoreClient',
    'StoreFault',
)
