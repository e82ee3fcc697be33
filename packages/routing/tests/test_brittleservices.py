"""What replies and peers tell of services whose servers are brittle."""

import pytest

from oriolegauge.routing.brittleservices import (
    END_REPORTED_S,
    MAX_SERVICES,
    BrittleServices,
    ReportedService,
)


class Daemon:
    """The knowledge of one daemon, with a clock that a test sets."""

    def __init__(self):
        self.now = 100.0
        self.changes = 0
        self.services = BrittleServices(lambda: self.now, self._count)

    def _count(self):
        self.changes += 1


@pytest.fixture
def daemon():
    return Daemon()


class TestReplies:
    def test_one_reply_tells_for_the_service(self, daemon):
        """Guards against servers that are overloaded until each has replied."""
        daemon.services.note('svc', 3)
        assert daemon.services.is_brittle('svc')
        assert not daemon.services.is_brittle('other')
        assert daemon.services.count == 1
        assert daemon.changes == 1

    def test_late_reply_does_not_end_it(self, daemon):
        """Guards against an end told by a reply made before the beginning."""
        daemon.services.note('svc', 3)
        daemon.services.note_unnamed('svc', sent_at=99)
        assert daemon.services.is_brittle('svc')
        daemon.now = 102
        daemon.services.note_unnamed('svc', sent_at=101)
        assert not daemon.services.is_brittle('svc')
        assert daemon.services.count == 0
        assert daemon.changes == 2

    def test_repeated_reply_is_no_change(self, daemon):
        """Guards against a heartbeat for each reply."""
        for _ in range(5):
            daemon.services.note('svc', 3)
        assert daemon.changes == 1


class TestReportsOfPeers:
    def test_daemon_without_a_reply_learns_of_it(self, daemon):
        """Guards against the first burst of a daemon that sent nothing yet."""
        daemon.services.learn([ReportedService('svc', 3, 0.5)], 'peer')
        assert daemon.services.is_brittle('svc')
        assert daemon.services.all() == (ReportedService('svc', 3, 0.5),)

    def test_own_later_reply_counts(self, daemon):
        """Guards against reports that bring an earlier state back."""
        daemon.services.note('svc', 3)
        daemon.now = 102
        daemon.services.note_unnamed('svc', sent_at=101)
        daemon.services.learn([ReportedService('svc', 3, 1)], 'peer')
        assert not daemon.services.is_brittle('svc')

    def test_end_is_reported_for_a_while(self, daemon):
        """Guards against peers that bound a service for ever."""
        daemon.services.note('svc', 3)
        daemon.now = 102
        daemon.services.note_unnamed('svc', sent_at=101)
        assert daemon.services.all() == (ReportedService('svc', None, 0),)
        daemon.now += END_REPORTED_S
        assert not daemon.services.all()

    def test_reports_take_bounded_memory(self, daemon):
        """Guards against a peer that fills the memory."""
        daemon.services.learn(
            [ReportedService(f's{n}', 1, 0) for n in range(2 * MAX_SERVICES)],
            'peer',
        )
        assert len(daemon.services.all()) == MAX_SERVICES
