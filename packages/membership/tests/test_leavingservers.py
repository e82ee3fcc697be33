import pytest
from hypothesis import given
from hypothesis import strategies as st

from oriolegauge.membership import LeavingServers, LeavingSource
from oriolegauge.testkit.fuzzing import Budget

REPORTS = (
    LeavingSource.HOST_LIST,
    LeavingSource.LOAD_REPORT,
    LeavingSource.CONNECTION,
)
signals = st.lists(
    st.tuples(
        st.sampled_from((*REPORTS, LeavingSource.CONFIGURATION)), st.booleans()
    ),
    max_size=20,
)


class LatestSignalServers(LeavingServers):
    """Broken: applies each signal, whatever other sources reported."""

    def note_signal(self, server, source, *, leaving, now):
        super().note_signal(server, source, leaving=leaving, now=now)
        self._signals[server].leaving = leaving


def play(kind: type[LeavingServers], history: list) -> None:
    """Compare each state with one computed from the whole history."""
    servers, last, staying, expected = kind(), {}, set(), False
    configured = False
    for now, (source, leaving) in enumerate(history, start=1):
        if source is LeavingSource.CONFIGURATION:
            servers.configure('s', leaving=leaving, version=now, now=now)
            # An older version changes nothing.
            servers.configure('s', leaving=not leaving, version=now - 1, now=0)
            returned = configured and not leaving
            configured = leaving
        else:
            servers.note_signal('s', source, leaving=leaving, now=now)
            returned = False
        if leaving:
            last[source], expected = True, True
            staying.clear()
        elif returned:
            last.clear()
            staying.clear()
            expected = False
        elif source is not LeavingSource.CONFIGURATION:
            last[source] = False
            staying.add(source)
            if len(staying) > 1 and not any(last.values()):
                expected = False
        assert servers.is_leaving('s') == expected, history
        assert servers.leaving() == ({'s'} if expected else frozenset())


@pytest.mark.fuzz
class TestLeavingServers:
    def test_matches_a_count_over_the_whole_history(self):
        """Guards against new work for a server that any source says leaves."""

        @given(signals)
        def check(history):
            play(LeavingServers, history)

        Budget(300).run_property(check)

    def test_broken_variant_is_caught(self):
        """Guards against a check that misses a stale report being applied."""

        @given(signals)
        def check(history):
            play(LatestSignalServers, history)

        with pytest.raises(AssertionError):
            Budget(300).run_property(check)

    def test_one_stale_report_does_not_undo_leaving(self):
        """Guards against a stale source that overrides a newer signal."""
        servers = LeavingServers()
        servers.note_signal('s', LeavingSource.CONNECTION, leaving=True, now=1)
        for source in REPORTS[:2]:
            servers.note_signal('s', source, leaving=False, now=2)
        assert servers.leaving_since('s') == 1
        servers.note_signal('s', LeavingSource.CONNECTION, leaving=False, now=3)
        assert servers.leaving_since('s') is None
