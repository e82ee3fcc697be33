import pytest

from tests.fleet import Fleet
from tests.scenario import DAEMONS


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        fleet.start_platform()
        for name in ('e1', 'e2', 'e3'):
            fleet.start_engine(name)
            fleet.add_engine(name)
        fleet.plan_daemons(DAEMONS)
        yield fleet
