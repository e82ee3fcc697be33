"""Fixture that runs a stand-in of the platform's store."""

import pytest

from .standinstore import StandInStore


@pytest.fixture
async def stand_in():
    store = StandInStore()
    await store.start()
    yield store
    await store.stop()
