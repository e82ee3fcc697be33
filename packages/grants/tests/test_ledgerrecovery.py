"""Ledgers of a store that came back from an older copy."""

from oriolegauge.grants.grantledger import (
    GrantLedger,
    LedgerEntry,
    TeamRequest,
    TeamRow,
)
from oriolegauge.grants.ledgerrecovery import (
    LedgerCopy,
    continued,
    is_restored,
    with_remembered,
)
from oriolegauge.grants.ledgerwriter import LedgerWriter
from oriolegauge.objectstore import store_version
from oriolegauge.testkit import MemoryObjectStore

PREPAID = 1_000
OLD, NEW = store_version(1, 50), store_version(1, 90)
RESTORED = store_version(2, 50)


def ledger(charged, era=1, **changes):
    return GrantLedger(teams={'team': TeamRow(charged)}, era=era, **changes)


def prepaid(team):
    return PREPAID


class TestIsRestored:
    def test_ledger_of_an_earlier_era_is_restored(self):
        """Guards against a copy that is taken for the last ledger."""
        assert is_restored(LedgerCopy(RESTORED, ledger(300)), None)
        assert not is_restored(LedgerCopy(RESTORED, ledger(300, era=2)), None)

    def test_ledger_without_era_is_restored_if_a_daemon_remembers_more(self):
        """Guards against the ledger of a build that records no era."""
        stored = LedgerCopy(RESTORED, ledger(300, era=None))
        assert not is_restored(stored, None)
        assert is_restored(stored, LedgerCopy(NEW, ledger(700)))
        assert not is_restored(stored, LedgerCopy(RESTORED + 9, ledger(700)))


class TestContinued:
    def test_newest_remembered_ledger_is_continued(self):
        """Guards against tokens that are granted twice."""
        found = continued(
            LedgerCopy(RESTORED, ledger(300)),
            [LedgerCopy(NEW, ledger(700)), LedgerCopy(OLD, ledger(300))],
            prepaid,
            is_first_start=False,
        )
        assert found.team('team').charged == 700
        assert found.base_version == NEW
        assert found.base_used == {'team': 700}

    def test_free_tokens_are_forfeited_if_no_daemon_remembers_more(self):
        """Guards against grants of daemons that have all died."""
        found = continued(
            LedgerCopy(RESTORED, ledger(300)),
            [],
            prepaid,
            is_first_start=False,
        )
        assert found.free('team', PREPAID) == 0
        entry = LedgerEntry(
            holder='h',
            position=1,
            team_requests={
                name: TeamRequest(prepaid=PREPAID, need=100)
                for name in ('team', 'forgotten')
            },
        )
        changed, granted = found.apply(entry)
        assert granted == {'team': 0, 'forgotten': 0}
        topped_up = LedgerEntry(
            holder='h',
            position=2,
            team_requests={
                name: TeamRequest(prepaid=PREPAID + 100, need=100)
                for name in ('team', 'forgotten')
            },
        )
        _, granted = changed.apply(topped_up)
        assert granted == {'team': 100, 'forgotten': 100}

    def test_memory_that_is_older_than_the_copy_does_not_count(self):
        """Guards against a daemon that has not seen the last ledgers."""
        stored = LedgerCopy(store_version(2, 60), ledger(300))
        found = continued(
            stored,
            [LedgerCopy(OLD, ledger(200))],
            prepaid,
            is_first_start=False,
        )
        assert found.free('team', PREPAID) == 0

    def test_first_ledger_of_a_store_is_empty(self):
        """Guards against forfeited tokens at the first start."""
        found = continued(None, [], prepaid, is_first_start=True)
        assert found == GrantLedger()

    def test_lost_ledger_of_a_fleet_that_has_started_grants_nothing(self):
        """Guards against a copy from before the first grant."""
        found = continued(None, [], prepaid, is_first_start=False)
        _, granted = found.apply(
            LedgerEntry(
                holder='h',
                position=1,
                team_requests={'team': TeamRequest(prepaid=PREPAID, need=9)},
            )
        )
        assert granted == {'team': 0}


class Daemon:
    """Writer of one daemon; `peers` are those that it reaches."""

    def __init__(self, store, name, peers=()):
        self.peers = peers
        self.name = name
        self.writer = LedgerWriter(
            store=store,
            key='grants/ledger',
            holder=name,
            on_resolved=lambda *_: None,
            is_first_start=True,
            remembered_by_peers=self._remembered_by_peers,
            prepaid=prepaid,
        )

    async def _remembered_by_peers(self):
        return [peer.writer.remembered for peer in self.peers]

    async def write(self, need):
        """Draw tokens; return how many were granted."""
        written = await self.writer.write(
            lambda _, position: LedgerEntry(
                holder=self.name,
                position=position,
                team_requests={'team': TeamRequest(prepaid=PREPAID, need=need)},
            )
        )
        return written.granted['team']


class TestUnreachedDaemon:
    async def test_what_it_remembers_is_written_when_it_is_back(self):
        """Guards against a continued ledger that nobody corrects."""
        store = MemoryObjectStore()
        store.restore(store.copy())
        first, second = Daemon(store, 'a'), Daemon(store, 'b')
        await first.write(100)
        kept = store.copy()
        second.writer.remember(first.writer.remembered)
        await second.write(600)
        store.restore(kept)
        assert await first.write(50) == 50
        assert not second.writer.knows_more
        second.writer.remember(first.writer.remembered)
        assert second.writer.knows_more
        await second.write(0)
        assert not second.writer.knows_more
        assert second.writer.ledger.team('team').charged == 750
        assert await first.write(400) == 250


class TestWithRemembered:
    def test_daemon_that_was_cut_off_adds_what_the_base_lacks(self):
        """Guards against grants that only a partitioned daemon has seen."""
        base = continued(
            LedgerCopy(RESTORED, ledger(300)),
            [LedgerCopy(OLD, ledger(300))],
            prepaid,
            is_first_start=False,
        )
        found = with_remembered(base, LedgerCopy(NEW, ledger(700)))
        assert found.team('team').charged == 700
        again = with_remembered(found, LedgerCopy(NEW, ledger(700)))
        assert again == found

    def test_stored_form_keeps_the_base(self):
        """Guards against adding it again after a restart."""
        base = continued(
            LedgerCopy(RESTORED, ledger(300)),
            [LedgerCopy(NEW, ledger(700))],
            prepaid,
            is_first_start=False,
        )
        assert GrantLedger.from_value(base.to_value()) == base
