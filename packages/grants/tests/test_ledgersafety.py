"""No token is spent twice under crashes, freezes, partitions, set clocks."""

import asyncio
import math
import random
from dataclasses import replace

import pytest

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.grants import grantallocator
from oriolegauge.grants.grantledger import (
    RESERVE_CLOSED_S,
    GrantLedger,
    LedgerEntry,
    Renewal,
    ReserveChange,
    ReservePart,
    ReserveRow,
    TeamRequest,
    open_share,
)
from oriolegauge.grants.holdingtargets import HoldingTargets
from oriolegauge.grants.hostreserve import HostReserve
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.reserveproof import WALL_MARGIN_S, passed_times
from oriolegauge.testkit import StoreFault
from oriolegauge.testkit.grantfleet import TEAM, Fleet, LateStore

OPEN_S = 8.0
PREPAID = 400_000
SIZE = 6
STEPS = 160
SEEDS = range(24)


async def send(fleet, name, most):
    try:
        await fleet.request(name, most, most, seconds=0.05)
    except OriolegaugeError:
        return


def cut_store(fleet, rng):
    is_outage = rng.random() < 0.5
    fleet.store.fault = StoreFault.OUTAGE if is_outage else StoreFault.NONE
    fleet.reaches_store = not is_outage


async def disturb(fleet, rng):
    """Inject one random fault, or end one."""
    match rng.randrange(9):
        case 0 | 1:
            cut_store(fleet, rng)
        case 2:
            name = rng.choice(fleet.names)
            fleet.down.add(name)
            await asyncio.sleep(rng.uniform(0, 2))
            fleet.start(name)
        case 3:
            power = rng.random() < 0.6
            await fleet.kill_all(rng.choice([0.5, 1, 1.6, 3, 8]), power=power)
        case 4:
            # Two wall clocks are set, as by a faulty time server.
            for name in rng.sample(fleet.names, 2):
                fleet.clocks[name].wall_offset += rng.choice([-3, -2, 2, 3])
        case 5:
            fleet.is_cut = rng.random() < 0.5
        case 6:
            fleet.allocator = rng.choice(fleet.names)
        case 7:
            await fleet.store.apply_late()
        case 8:
            # A frozen daemon: unreachable, and its tasks are suspended.
            name = rng.choice(fleet.names)
            fleet.stop(name)
            fleet.down.add(name)
            await asyncio.sleep(rng.uniform(0, 6))
            fleet.down.discard(name)
            fleet.run(name)


async def play(seed, steps=STEPS, lost_share=0.15):
    """Return the tokens delivered beyond the prepaid ones."""
    rng = random.Random(seed)
    store = LateStore(random.Random(seed), lost_share)
    fleet = Fleet(store=store, prepaid=PREPAID, size=SIZE)
    fleet.run()
    calls = []
    for _ in range(steps):
        for _ in range(rng.randint(0, 8)):
            name = rng.choice(fleet.names)
            if name not in fleet.down:
                most = rng.randint(200, 4_000)
                calls.append(asyncio.create_task(send(fleet, name, most)))
        await asyncio.sleep(rng.uniform(0.05, 0.6))
        if rng.random() < 0.25:
            await disturb(fleet, rng)
        assert fleet.delivered <= fleet.prepaid or lost_share < 0
    # All faults end, and the rest of the budget is requested.
    fleet.store.fault = StoreFault.NONE
    fleet.store.lost_share = 0
    fleet.reaches_store = True
    fleet.is_cut = False
    for _ in range(150):
        await send(fleet, rng.choice(fleet.names), 3_000)
        await asyncio.sleep(0.1)
    fleet.stop(*fleet.names)
    await asyncio.gather(*calls)
    return fleet.delivered - fleet.prepaid


async def play_with_restores(seed, *, is_allocator_killed, steps=60):
    """Return the tokens delivered beyond the prepaid ones.

    The store comes back from older copies; single daemons die, the allocator
    too during an outage if `is_allocator_killed`.
    """
    rng = random.Random(seed)
    store = LateStore(random.Random(seed), 0.1)
    fleet = Fleet(store=store, prepaid=PREPAID, size=SIZE)
    fleet.run()
    calls = []
    copies = []
    for step in range(steps):
        copies.append(store.copy())
        for _ in range(rng.randint(0, 8)):
            name = rng.choice(fleet.names)
            if name not in fleet.down:
                most = rng.randint(200, 4_000)
                calls.append(asyncio.create_task(send(fleet, name, most)))
        await asyncio.sleep(0.3)
        if step % 20 == 19:
            fleet.reaches_store = False
            store.fault = StoreFault.OUTAGE
            if is_allocator_killed:
                fleet.start(fleet.allocator)
                fleet.allocator = rng.choice(fleet.names)
            await asyncio.sleep(rng.uniform(0.1, 2))
            store.restore(copies[-rng.randint(2, 15)])
            store.late.clear()
            store.fault = StoreFault.NONE
            fleet.reaches_store = True
        elif step % 20 == 9:
            fleet.allocator = rng.choice(fleet.names)
            fleet.start(rng.choice(fleet.names))
    for _ in range(150):
        await send(fleet, rng.choice(fleet.names), 3_000)
        await asyncio.sleep(0.1)
    fleet.stop(*fleet.names)
    await asyncio.gather(*calls)
    return fleet.delivered - fleet.prepaid


async def send_all(fleet, name):
    """Request half the budget more than there is, in small requests."""
    for _ in range(60):
        await send(fleet, name, PREPAID // 40)


async def play_late_renewal():
    """Return the tokens delivered beyond the prepaid ones.

    In an outage the allocator keeps a renewal, which its host has another one
    write first. The host opens its reserve before the old allocator writes.
    """
    store = LateStore(random.Random(0))
    fleet = Fleet(store=store, prepaid=PREPAID, size=2)
    old, host = fleet.names
    fleet.run()
    await send(fleet, host, 100)
    await asyncio.sleep(1)
    store.fault = StoreFault.OUTAGE
    fleet.reaches_store = False
    await asyncio.gather(*(send(fleet, host, 3_000) for _ in range(40)))
    await asyncio.sleep(RESERVE_CLOSED_S)
    fleet.stop(old)
    fleet.allocator = host
    fleet.is_cut = True
    store.fault = StoreFault.NONE
    fleet.reaches_store = True
    keeper = fleet.keepers[host]
    async with asyncio.timeout(5):
        while keeper.remembered_ledger.ledger.reserved(TEAM) < PREPAID // 10:
            await asyncio.sleep(0.05)
    await asyncio.sleep(0.05)
    fleet.stop(host)
    await send_all(fleet, host)
    await send_all(fleet, old)
    return fleet.delivered - fleet.prepaid


@pytest.mark.looptime
class TestSafety:
    @pytest.mark.parametrize('seed', SEEDS)
    async def test_never_overspends(self, seed):
        """Guards against tokens of reserves that are spent twice."""
        assert await play(seed) <= 0

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_store_that_comes_back_older_grants_nothing_twice(self, seed):
        """Guards against tokens of grants that the store has forgotten."""
        assert await play_with_restores(seed, is_allocator_killed=False) <= 0

    async def test_renewal_kept_in_an_outage_frees_no_open_reserve(self):
        """Guards against a renewal that two allocators write."""
        # Nearly all is spent, so the host has opened its reserve.
        assert -PREPAID // 20 <= await play_late_renewal() <= 0

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_last_writer_that_dies_takes_no_grant_along(self, seed):
        """Guards against grants that only a killed allocator remembered."""
        assert await play_with_restores(seed, is_allocator_killed=True) <= 0


async def outage_and_crash(seed):
    """Play an outage in which reserves are opened, and a crash of all."""
    rng = random.Random(seed)
    store = LateStore(random.Random(seed), 0)
    fleet = Fleet(store=store, prepaid=PREPAID, size=SIZE)
    fleet.run()
    calls = []
    for tick in range(140):
        is_outage = 40 <= tick < 100
        store.fault = StoreFault.OUTAGE if is_outage else StoreFault.NONE
        fleet.reaches_store = not is_outage
        name = rng.choice(fleet.names)
        calls.append(asyncio.create_task(send(fleet, name, 3_000)))
        await asyncio.sleep(0.1)
        if tick == 95:
            await fleet.kill_all(0.5, power=rng.random() < 0.5)
    for _ in range(200):
        await send(fleet, rng.choice(fleet.names), 2_000)
        await asyncio.sleep(0.05)
    fleet.stop(*fleet.names)
    await asyncio.gather(*calls)
    return fleet.delivered - fleet.prepaid


class OmitsOpenedTokens(HostReserve):
    """Renew the reserve without reporting the opened tokens."""

    def renewal(self, now):
        self._opened.clear()
        return super().renewal(now)


@pytest.mark.looptime
class TestOracle:
    async def test_correct_fleet_does_not_overspend(self):
        assert max([await outage_and_crash(seed) for seed in range(6)]) <= 0

    async def test_detects_reserves_returned_without_a_proof(self, monkeypatch):
        """Guards against a test that can't detect a wrong proof."""
        monkeypatch.setattr(
            grantallocator,
            'passed_times',
            lambda rows, *_: dict.fromkeys(rows, 0),
        )
        assert max([await outage_and_crash(seed) for seed in range(6)]) > 0

    async def test_detects_opened_tokens_that_are_not_reported(
        self, monkeypatch
    ):
        """Guards against a test that can't detect unreported tokens."""
        from oriolegauge.grants import grantkeeper

        monkeypatch.setattr(grantkeeper, 'HostReserve', OmitsOpenedTokens)
        overspent = [await play(seed, 80, -1) for seed in range(8)]
        assert max(overspent) > 0


def times(boot_s, wall_s=None, boot_id='b'):
    wall_s = boot_s + 1_000 if wall_s is None else wall_s
    return HostTimes(boot_id, boot_s, wall_s)


def row(stamp):
    parts = {'t': ReservePart(1, OPEN_S)}
    return ReserveRow(holder='old', stamp=stamp, number=1, parts=parts)


class TestReserveProof:
    @pytest.mark.parametrize(
        ('started', 'passed_s'),
        [
            (times(100.5), 0.5),
            (times(105), 5),
            # The host was rebooted, or one of its clocks was set.
            (times(101, boot_id='other'), None),
            (times(101, wall_s=1_105), None),
            (times(50), None),
        ],
    )
    def test_boot_clock_bounds_only_the_same_boot(self, started, passed_s):
        """Guards against a bound by a clock that was reset or set."""
        found = passed_times({'h': row(times(100))}, {'h': started}, {})
        assert found.get('h') == passed_s

    @staticmethod
    def after_power_loss(passed_s, *, hosts=6):
        """Return the bounds if hosts restart after these wall clock times."""
        rows = {f'h{n}': row(times(100 + n)) for n in range(hosts)}
        starts = {
            f'h{n}': HostTimes('new', 5 + n, 1_100 + n + passed)
            for n, passed in enumerate(passed_s)
        }
        return passed_times(rows, starts, {})

    @pytest.mark.parametrize('back', [4, 6])
    def test_wall_clocks_of_two_thirds_give_a_bound(self, back):
        """Guards against losing all reserves at each power loss."""
        found = self.after_power_loss([1.5] * back)
        assert list(found.values()) == [1.5 + WALL_MARGIN_S] * back

    @pytest.mark.parametrize('passed_s', [[1.5] * 3, []])
    def test_too_few_hosts_give_no_bound(self, passed_s):
        """Guards against a bound by clocks that may all be wrong."""
        assert not self.after_power_loss(passed_s)
        assert not self.after_power_loss([1.5] * 2, hosts=2)

    @pytest.mark.parametrize('wrong', [1, 2])
    def test_clocks_set_back_do_not_lower_the_bound(self, wrong):
        """Guards against tokens spent twice because clocks were set.

        All hosts restart after 9 s, in which reserves were opened.
        """
        passed_s = [9.0 - 8.0 * (n < wrong) for n in range(6)]
        assert min(self.after_power_loss(passed_s).values()) >= 9

    @pytest.mark.parametrize('ahead_s', [8, 100])
    def test_clock_set_ahead_affects_its_own_host_only(self, ahead_s):
        """Guards against losing all reserves because of one clock.

        A host that had been unreachable for longer looks the same.
        """
        found = self.after_power_loss([1.5] * 5 + [1.5 + ahead_s])
        assert sorted(found.values())[:5] == [1.5 + WALL_MARGIN_S] * 5
        assert found['h5'] > ahead_s

    def test_resolved_hosts_give_a_bound_to_later_ones(self):
        """Guards against losing the reserves of the last hosts to restart."""
        rows = {'h': row(times(100))}
        starts = {'h': HostTimes('new', 5, 1_101.5)}
        known_s = {f'k{n}': 1.4 for n in range(5)}
        assert passed_times(rows, starts, known_s) == {'h': 1.5 + WALL_MARGIN_S}
        assert not passed_times(rows, starts, {'k0': 1.4})


class TestOpenShare:
    def test_opens_gradually(self):
        """Guards against losing a whole reserve by a crash in an outage."""
        assert open_share(RESERVE_CLOSED_S, OPEN_S) == 0
        shares = [
            open_share(RESERVE_CLOSED_S + passed, OPEN_S) for passed in range(9)
        ]
        assert shares == sorted(shares)
        assert 0 < shares[1] < 0.5
        assert open_share(100, OPEN_S) == 1

    def test_two_periods_open_no_more_than_one(self):
        """Guards against opening more than the ledger allows for.

        A renewal that may not have been written starts a period of its own.
        """
        for first in (0.5, 2.7, 4, 6):
            for second in (0.5, 2.7, 4, 6):
                left = 1 - open_share(first, OPEN_S)
                both = 1 - left * (1 - open_share(second, OPEN_S))
                assert both <= open_share(first + second, OPEN_S) + 1e-9


def parts(tokens, open_s=OPEN_S):
    return {'t': ReservePart(tokens, open_s)} if tokens else {}


def renewal(number, *, believed=0, opened=0, holder='x', boot_s=10):
    return Renewal(
        host='h',
        holder=holder,
        started=times(1),
        stamp=times(boot_s),
        number=number,
        believed=parts(believed),
        opened={'t': opened} if opened else {},
    )


def entry(change, position=1, prepaid=1_000):
    return LedgerEntry(
        holder='w',
        position=position,
        team_requests={'t': TeamRequest(prepaid=prepaid)},
        reserves=(change,),
    )


def renewed(ledger, sent, target, open_s=OPEN_S, **options):
    change = ReserveChange(
        renewal=sent, targets=parts(target, open_s), **options
    )
    return ledger.apply(entry(change))[0]


class TestReservesInTheLedger:
    def test_opened_tokens_are_charged_once(self):
        """Guards against a renewal that is written twice."""
        ledger = renewed(GrantLedger(), renewal(1), 300)
        again = renewal(2, believed=200, opened=100, boot_s=20)
        for _ in range(2):
            ledger = renewed(ledger, again, 200)
        assert ledger.team('t').charged == 100
        assert ledger.reserved('t') == 200

    def test_outdated_renewal_changes_nothing(self):
        """Guards against a reserve smaller than its host may open."""
        ledger = renewed(GrantLedger(), renewal(1), 300)
        ledger = renewed(ledger, renewal(3, believed=300, boot_s=30), 300)
        assert renewed(ledger, renewal(2, believed=10), 0) == GrantLedger(
            ledger.teams, ledger.reserves, ledger.last
        )

    def test_renewal_that_comes_again_takes_nothing_from_its_host(self):
        """Guards against a confirmed reserve that is granted again.

        An allocator writes a renewal late that another one has written.
        """
        first = renewed(GrantLedger(), renewal(1), 300)
        second = renewed(first, renewal(1), 0)
        assert second.reserves == first.reserves
        last = renewed(second, renewal(2, opened=300, boot_s=20), 0)
        assert last.team('t').charged == 300

    def test_never_falls_below_what_the_host_may_open(self):
        """Guards against tokens that are free and in reserve at once."""
        ledger = renewed(GrantLedger(), renewal(1), 300)
        ledger = renewed(ledger, renewal(2, believed=250), 0)
        assert ledger.reserved('t') == 250
        assert ledger.free('t', 1_000) == 750

    def test_opens_no_slower_than_its_host_believes(self):
        """Guards against a host that opens faster than the ledger says."""
        ledger = renewed(GrantLedger(), renewal(1), 300, open_s=4)
        ledger = renewed(
            ledger, replace(renewal(2), believed=parts(300, 4)), 300, open_s=9
        )
        assert ledger.reserves['h'].parts['t'].open_s == 4
        ledger = renewed(
            ledger, replace(renewal(3), believed=parts(300, 9)), 300, open_s=9
        )
        assert ledger.reserves['h'].parts['t'].open_s == 9

    @pytest.mark.parametrize(
        ('passed_s', 'charged'),
        [
            (0, 0),
            (RESERVE_CLOSED_S, 0),
            (RESERVE_CLOSED_S + 1, 120),
            (math.inf, 300),
        ],
    )
    def test_charges_what_an_ended_process_may_have_opened(
        self, passed_s, charged
    ):
        """Guards against losing a reserve, or returning opened tokens."""
        ledger = renewed(GrantLedger(), renewal(1), 300)
        ledger = renewed(ledger, renewal(1, holder='y'), 0, passed_s=passed_s)
        assert ledger.team('t').charged == charged
        assert ledger.reserved('t') == 0

    def test_stored_form_is_read_unchanged(self):
        """Guards against a ledger that daemons read differently."""
        ledger = renewed(GrantLedger(), renewal(1, opened=5), 300)
        assert GrantLedger.from_value(ledger.to_value()) == ledger


class TestHostReserve:
    @pytest.fixture
    def reserve(self):
        return HostReserve(host='h', holder='x', started=times(1))

    @staticmethod
    def renew(reserve, now_s, held):
        sent = reserve.renewal(times(now_s))
        reserve.confirm(sent.number, parts(held), parts(held))

    def test_stays_closed_while_renewed(self, reserve):
        """Guards against opening a reserve while the store is reachable."""
        for now_s in range(10, 20):
            self.renew(reserve, now_s, 100)
            assert not reserve.open('t', 50, now_s + RESERVE_CLOSED_S - 0.01)

    def test_opens_after_the_closed_period(self, reserve):
        """Guards against a reserve that stays closed in an outage."""
        self.renew(reserve, 10, 1_000)
        now_s = 10 + RESERVE_CLOSED_S + 0.01
        first = int(1_000 * open_share(RESERVE_CLOSED_S + 0.01, OPEN_S))
        assert reserve.open('t', 50, now_s) == 50
        assert reserve.open('t', 2_000, now_s) == first - 50
        assert reserve.open('t', 2_000, 30) == 1_000 - first

    def test_unconfirmed_renewal_does_not_extend_the_period(self, reserve):
        """Guards against a reserve that opens never, or too early.

        The renewal may have been written, so the period counts from its stamp,
        also after a retry.
        """
        self.renew(reserve, 10, 100)
        first = reserve.renewal(times(11))
        assert reserve.renewal(times(13)) == first
        assert not reserve.open('t', 10, 11 + RESERVE_CLOSED_S - 0.01)
        assert reserve.open('t', 10, 11 + RESERVE_CLOSED_S + 0.01) == 10

    def test_release_reaches_the_ledger(self, reserve):
        """Guards against a reserve that stays in the ledger after a stop."""
        self.renew(reserve, 10, 100)
        reserve.release()
        assert not reserve.is_empty
        sent = reserve.renewal(times(11))
        assert not sent.believed
        reserve.confirm(sent.number, {}, {})
        assert reserve.is_empty

    def test_opens_no_more_than_the_first_stamp_allows(self, reserve):
        """Guards against opening more than the stored stamp allows.

        The second renewal may never have been written.
        """
        self.renew(reserve, 10, 1_000)
        opened = reserve.open('t', 1_000, 14)
        reserve.renewal(times(14))
        for now_s in (16, 17, 19, 25):
            opened += reserve.open('t', 1_000, now_s)
            assert opened <= 1_000 * open_share(now_s - 10, OPEN_S)

    def test_next_renewal_reports_tokens_opened_meanwhile(self, reserve):
        """Guards against opened tokens that are never charged."""
        self.renew(reserve, 10, 100)
        sent = reserve.renewal(times(11))
        assert reserve.open('t', 30, 15) == 30
        reserve.confirm(sent.number, parts(100), parts(100))
        assert reserve.held('t') == 70
        assert reserve.renewal(times(16)).opened == {'t': 30}


def test_holding_targets_leave_half_of_the_available_tokens():
    """Guards against tokens that are held back at the end of a budget."""
    from oriolegauge.grants.holdingtargets import holding_targets

    for available_tokens in (1_000, 50_000, 900_000):
        held = holding_targets(
            rate=40_000,
            request_tokens=2_000,
            available_tokens=available_tokens,
            prepaid=1_000_000,
        )
        assert held.working + held.reserve <= available_tokens / 2
    assert holding_targets(
        rate=0, request_tokens=0, available_tokens=500, prepaid=1_000
    ) == HoldingTargets(15)
