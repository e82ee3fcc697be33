"""Fakes for tests; never imported by the product."""

from oriolegauge.testkit.memoryobjectstore import MemoryObjectStore, StoreFault

__all__ = ('MemoryObjectStore', 'StoreFault')
