import pytest

from oriolegauge.membership import FailureProof, MemberState, MemberTable
from oriolegauge.testkit.fuzzing import Budget

from .fleet import Beat, Fleet, Row


class SilenceTable(MemberTable):
    """Broken: marks a process dead after 10 s of silence."""

    def view(self, now):
        for record in self._records.values():
            for found in list(record.live.values()):
                if now - found.last_heard > 10:
                    record.live.pop(found.name)
                    record.dead.append(found.name)
        return super().view(now)


class ArrivalTable(MemberTable):
    """Broken: assumes that the last heartbeat is of the newest process."""

    def observe(self, heartbeat, now):
        taken = super().observe(heartbeat, now)
        if taken:
            self._record(heartbeat.member).mark_dead(now, heartbeat.incarnation)
        return taken


class HostListTable(MemberTable):
    """Broken: trusts the host list although peers had contact."""

    def note_failure_proof(self, member, kind, *, started_at, now):
        if kind is FailureProof.HOST_GONE:
            self._record(member).mark_dead(started_at, None)
        return super().note_failure_proof(
            member, kind, started_at=started_at, now=now
        )


class StaleRefusalTable(MemberTable):
    """Broken: counts refusals of attempts before the last message."""

    def note_failure_proof(self, member, kind, *, started_at, now):
        record = self._record(member)
        if kind is FailureProof.REFUSED:
            earlier, record.first_refused_at = (
                record.first_refused_at,
                started_at,
            )
            if earlier is not None and started_at - earlier >= 0.2:
                record.mark_dead(now, None)
            return self.state(member, now)
        return super().note_failure_proof(
            member, kind, started_at=started_at, now=now
        )


@pytest.mark.fuzz
class TestMemberTableMachine:
    def test_machine(self):
        """Guards against closing the grants of a running process."""
        Budget(80, 40).run_machine(Fleet)

    @pytest.mark.parametrize(
        'broken', [SilenceTable, ArrivalTable, HostListTable, StaleRefusalTable]
    )
    def test_broken_variant_is_caught(self, broken):
        """Guards against a state machine that misses these faults."""

        class Broken(Fleet):
            table_class = broken

        Budget(600, 40).expect_caught(Broken)


class TestMemberTable:
    @staticmethod
    def table() -> MemberTable:
        return MemberTable(name='m0', incarnation='a', zone='z', now=0)

    def test_silent_member_becomes_suspect_and_then_gone(self):
        """Guards against marking silent members dead, or suspect for ever."""
        table = self.table()
        table.observe(Beat('m1', 'x'), 1)
        states = {}
        for half_seconds in range(2, 1810):
            now = half_seconds / 2
            table.view(now)
            states.setdefault(table.state('m1', now), now)
        assert states == {
            MemberState.ALIVE: 1,
            MemberState.SUSPECT: 2.5,
            MemberState.GONE: 901,
        }

    def test_own_pause_does_not_count_as_silence_of_others(self):
        """Guards against a resumed daemon that closes the grants of all."""
        table = self.table()
        table.observe(Beat('m1', 'x'), 1)
        table.view(2000)
        assert table.state('m1', 2000) is MemberState.ALIVE
        assert not table.is_closable('m1', 'x', seen_at=1, now=2000)

    def test_draining_member_stays_but_gets_no_ownership(self):
        """Guards against new requests and shards at a draining daemon."""
        table = self.table()
        table.set_own(incarnation='a', state='serving')
        table.observe(Beat('m1', 'x'), 1)
        before = table.view(1)
        table.observe(Beat('m1', 'x', state='draining'), 1.1)
        after = table.view(1.1)
        assert before.owners == ('m0', 'm1')
        assert set(after.members) == {'m0', 'm1'}
        assert after.owners == ('m0',)
        assert after.version > before.version
        assert table.view(1.2) is after

    def test_partitioned_daemon_ignores_the_host_list(self):
        """Guards against a partitioned daemon that closes grants of peers."""
        table = self.table()
        for name in ('m1', 'm2', 'm3'):
            table.observe(Beat(name, 'x'), 0)
        for tick in range(40):
            table.view(tick / 4)
        verdict = table.note_failure_proof(
            'm1', FailureProof.HOST_GONE, started_at=9.9, now=10
        )
        assert verdict is MemberState.SUSPECT

    def test_member_of_a_removed_silent_host_is_dead(self):
        """Guards against grants locked for 900 s after a host was removed."""
        table = self.table()
        table.observe(Beat('m1', 'x'), 0)
        for tick in range(1, 41):
            now = tick / 4
            rows = (Row('m1', 250),) if now <= 2 else ()
            table.observe(Beat('m2', 'y', heard=rows), now)
        early = table.note_failure_proof(
            'm1', FailureProof.HOST_GONE, started_at=6.5, now=10
        )
        late = table.note_failure_proof(
            'm1', FailureProof.HOST_GONE, started_at=7, now=10
        )
        assert (early, late) == (MemberState.SUSPECT, MemberState.DEAD)

    def test_unknown_holder_is_closable_900_s_after_last_seen(self):
        """Guards against closing the grants of a member that just joined."""
        table = self.table()
        verdicts = {}
        for half_seconds in range(1, 6000):
            now = half_seconds / 2
            table.view(now)
            if now >= 1000:
                closable = table.is_closable('m1', 'x', seen_at=1000, now=now)
                verdicts.setdefault(closable, now)
        assert verdicts == {False: 1000, True: 1900}

    def test_members_silent_for_long_are_removed(self):
        """Guards against heartbeats that grow with each replaced host."""
        table = self.table()
        for number in range(100):
            table.observe(Beat(f'h{number}', 'x'), 1)
        for second in range(2, 2000):
            table.view(second)
        assert table.heard(2000) == ()
        assert not table._records

    def test_member_with_two_incarnations_is_to_be_called(self):
        """Guards against two incarnations that both stay live for ever."""
        table = self.table()
        table.observe(Beat('m1', 'x'), 0)
        table.observe(Beat('m1', 'y'), 1)
        assert table.members_to_ask() == ('m1',)
        table.answered('m1', 'y', asked_at=1.1, now=1.2)
        assert table.members_to_ask() == ()
        assert table.is_closable('m1', 'x', seen_at=0, now=1.2)
