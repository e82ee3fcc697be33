"""Simulated store, network and peers for tests and benchmarks.

The production code never imports them.
"""

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
