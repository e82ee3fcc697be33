"""Store of the platform, spoken to by the adapter."""

import pytest

from .standinstore import StandInStore


@pytest.fixture
async def stand_in():
    store = StandInStore()
    await store.start()
    yield store
    await store.stop()
