"""Fuzz the admission queue against a plain list of jobs."""

import dataclasses
import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from oriolegauge.admission import (
    AdmissionQueue,
    DeadlineUnreachableError,
    Job,
    QueueFullError,
    QueueLimits,
    ServerSlots,
)
from oriolegauge.core import Priority, RunState
from oriolegauge.testkit.fuzzing import Budget

LIMITS = QueueLimits(max_waiting_per_class=8, ageing_tokens_per_s=100.0)
MODELS = {'s1': 'm1', 's2': 'm1 m2', 's3': 'm2'}
SLOTS = {'s1': 1, 's2': 4, 's3': 2}


@dataclasses.dataclass
class Entry:
    job: Job
    is_long: bool
    has_run: bool = False
    server: str | None = None
    started_at: float = 0.0


class QueueMachine(RuleBasedStateMachine):
    queue_class = AdmissionQueue

    def __init__(self):
        super().__init__()
        self.queue = self.queue_class(rng=random.Random(1), limits=LIMITS)
        self.now = 0.0
        self.count = 0
        self.waiting = {}
        self.running = {}
        self.taken_tokens = 0
        self.overtaking_tokens = 0
        self.slowest = 0.0

    @initialize()
    def measure(self):
        """Give the queue a measured rate, so that it can judge deadlines."""
        self.offer('a', Priority.NORMAL, 100, 'm1', None, None)
        self.take({'s1'})
        self.advance(10.0)
        self.finish(random.Random(1), 100)

    @rule(
        team=st.sampled_from('abc'),
        priority=st.sampled_from(Priority),
        tokens=st.sampled_from([10, 100, 400, 5000]),
        model=st.sampled_from(['m1', 'm2']),
        patience=st.sampled_from([None, None, -1.0, 5.0, 60.0, 5000.0]),
        allowed=st.sampled_from([None, None, {'s2'}, {'s1', 's3'}]),
    )
    def offer(self, team, priority, tokens, model, patience, allowed):
        self.count += 1
        job = Job(
            request_id=f'r{self.count}',
            team=team,
            priority=priority,
            predicted_tokens=tokens,
            enqueued_at=self.now,
            model=model,
            deadline=None if patience is None else self.now + patience,
            allowed_servers=allowed and frozenset(allowed),
        )
        is_long = tokens > self.queue.straggler_tokens
        try:
            self.queue.offer(job, self.now)
        except QueueFullError as refusal:
            self.check_full(job, refusal)
        except DeadlineUnreachableError as refusal:
            self.check_late(job, refusal)
        else:
            self.waiting[job.request_id] = Entry(job, is_long)

    def check_full(self, job, refusal):
        assert refusal.run_state is RunState.NOT_RUN
        assert refusal.retry_after_s > 0
        same = [e for e in self.live() if e.job.priority == job.priority]
        own = sum(e.job.team == job.team for e in same)
        free = LIMITS.max_waiting_per_class - len(same)
        assert own >= free * LIMITS.team_share_of_free or free <= 0

    def check_late(self, job, refusal):
        assert refusal.run_state is RunState.NOT_RUN
        assert refusal.retry_after_s > 0
        ahead = sum(e.job.predicted_tokens for e in self.live())
        ahead += job.predicted_tokens
        # One slot at the slowest speed ever seen is the worst that can be.
        worst = self.now + 1.1 * ahead * self.slowest
        assert worst > job.deadline, 'refused although the deadline is far'

    def live(self):
        return [e for e in self.waiting.values() if not self.is_due(e)]

    def is_due(self, entry):
        deadline = entry.job.deadline
        if entry.has_run or deadline is None:
            return False
        return deadline <= self.now

    def slots(self, names):
        return [
            ServerSlots(
                name=name,
                models=frozenset(MODELS[name].split()),
                free=SLOTS[name] - self.on(name),
                limit=SLOTS[name],
            )
            for name in sorted(names)
        ]

    def on(self, name):
        return sum(e.server == name for e in self.running.values())

    def stragglers(self, name):
        return sum(
            e.server == name and e.is_long for e in self.running.values()
        )

    def may_run(self, entry, server):
        allowed = entry.job.allowed_servers
        if entry.job.model not in server.models:
            return False
        return allowed is None or server.name in allowed

    def fitting(self, servers):
        return [
            entry
            for entry in self.live()
            if any(self.may_run(entry, server) for server in servers)
        ]

    @rule(names=st.sets(st.sampled_from(['s1', 's2', 's3']), min_size=1))
    def take(self, names):
        slots = self.slots(names)
        free = [server for server in slots if server.free > 0]
        fitting = self.fitting(free)
        job = self.queue.take(slots, self.now)
        if job is None:
            assert not fitting, 'a slot stays idle although work fits'
            return
        assert job.request_id in self.waiting, 'taken twice or never offered'
        entry = self.waiting[job.request_id]
        assert entry in fitting, 'expired, or on no server that may run it'
        self.check_order(entry, fitting, free)
        self.waiting.pop(job.request_id)
        names = self.queue.candidates(job, slots)
        assert names, 'no server for a taken job'
        by_name = {server.name: server for server in free}
        for name in names:
            assert self.may_run(entry, by_name[name])
            self.check_share(entry, by_name[name])
        entry.server = names[self.count % len(names)]
        entry.has_run = True
        entry.started_at = self.now
        self.running[job.request_id] = entry
        self.queue.placed(job.request_id, entry.server)
        self.taken_tokens += job.predicted_tokens

    def check_order(self, entry, fitting, free):
        job = entry.job
        if any(other.job.priority < job.priority for other in fitting):
            lowest = max(e.job.priority for e in self.live())
            assert job.priority == lowest, 'overtakes without being lowest'
            self.overtaking_tokens += job.predicted_tokens
        share = LIMITS.floor_share
        floor = self.taken_tokens * share / (1 - share) + 1e-6
        assert self.overtaking_tokens <= floor, 'the floor is exceeded'
        rate = LIMITS.ageing_tokens_per_s
        for other in fitting:
            same = (other.job.team, other.job.priority, other.is_long)
            if same != (job.team, job.priority, entry.is_long):
                continue
            patience = other.job.predicted_tokens / rate
            assert job.enqueued_at <= other.job.enqueued_at + patience + 1e-6, (
                'overtakes an aged job'
            )

    def check_share(self, entry, server):
        if not entry.is_long:
            return
        share = max(1, int(server.limit * LIMITS.straggler_share))
        if self.stragglers(server.name) >= share:
            assert not self.short_work(entry, server), 'too many stragglers'

    def short_work(self, entry, server):
        return any(
            not other.is_long
            and other.job.priority <= entry.job.priority
            and self.may_run(other, server)
            for other in self.live()
        )

    @rule(patience=st.sampled_from([None, 5000.0]))
    def crowd(self, patience):
        """Fill a server with stragglers before short work comes."""
        for _ in range(4):
            self.offer('a', Priority.NORMAL, 5000, 'm1', patience, {'s2'})
            self.take({'s2'})
        self.advance(1.0)
        self.offer('b', Priority.NORMAL, 10, 'm1', None, {'s2'})
        self.pause()

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0, 100.0, 6000.0]))
    def advance(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.running)
    @rule(
        rng=st.randoms(use_true_random=False),
        tokens=st.sampled_from([0, 50, 100, 3000]),
    )
    def finish(self, rng, tokens):
        name = rng.choice(sorted(self.running))
        entry = self.running.pop(name)
        if tokens:
            # At least a second, as a job of no duration has no rate.
            self.now += 1.0
            self.ended(entry, tokens)
        self.queue.finished(entry.job, tokens, self.now)

    def ended(self, entry, tokens):
        seconds = self.now - entry.started_at
        self.slowest = max(self.slowest, seconds / tokens)

    @precondition(lambda self: self.running)
    @rule(rng=st.randoms(use_true_random=False))
    def found_long(self, rng):
        name = rng.choice(sorted(self.running))
        self.queue.progress(name, 100_000)
        self.running[name].is_long = True

    @rule()
    def pause(self):
        slots = self.slots(SLOTS)
        job = self.queue.straggler_to_pause(slots, self.now)
        if job is None:
            return
        entry = self.running.pop(job.request_id)
        server = next(s for s in slots if s.name == entry.server)
        assert entry.is_long
        assert server.free <= 0
        assert self.short_work(entry, server), 'paused for nothing'
        self.ended(entry, 50)
        self.queue.paused(job, 50, self.now)
        entry.server = None
        self.waiting[job.request_id] = entry

    @rule()
    def expire(self):
        due = {n for n, e in self.waiting.items() if self.is_due(e)}
        expired = [job.request_id for job in self.queue.expire(self.now)]
        assert sorted(expired) == sorted(due), 'expired twice, early or never'
        for name in expired:
            self.waiting.pop(name)

    @precondition(lambda self: self.live())
    @rule(rng=st.randoms(use_true_random=False))
    def remove(self, rng):
        self.expire()
        if self.waiting:
            name = rng.choice(sorted(self.waiting))
            assert self.queue.remove(name) is self.waiting.pop(name).job

    @invariant()
    def nothing_is_lost(self):
        assert len(self.queue) >= len(self.live())
        assert len(self.queue) <= len(self.waiting)
        assert self.queue.running == len(self.running)


@pytest.mark.fuzz
class TestQueueMachine:
    def test_queue_agrees_with_the_oracle(self):
        Budget(60, 60).run_machine(QueueMachine)


class TakesTwice(AdmissionQueue):
    def take(self, servers, now):
        job = super().take(servers, now)
        if job is not None and job.predicted_tokens == 400:
            self.finished(job, 0, now)
            self.offer(dataclasses.replace(job, deadline=None), now)
            self._running.start(job, is_long=False, now=now)
        return job


class LosesJobs(AdmissionQueue):
    def paused(self, job, tokens, now):
        self.finished(job, tokens, now)


class ServesLowestFirst(AdmissionQueue):
    def _first_place(self, levels, servers):
        return super()._first_place(list(levels)[::-1], servers)


class UnboundedFloor(AdmissionQueue):
    def _next_place(self, servers):
        self._floor_credit = 1e9
        return super()._next_place(servers)


class NeverAges(AdmissionQueue):
    def _rank(self, job):
        return job.predicted_tokens


class NoStragglerShare(AdmissionQueue):
    def _straggler_slots(self, server):
        return server.limit


class IdlesForShortWork(AdmissionQueue):
    def _has_short_work(self, server, priority):
        return True


class RefusesUntruthfully(AdmissionQueue):
    def _run_time(self, job):
        return 100 * super()._run_time(job)


class ExpiresWorkThatRan(AdmissionQueue):
    def paused(self, job, tokens, now):
        super().paused(job, tokens, now)
        if job.deadline is not None:
            self._push_due(job.deadline, self._places[job.request_id])


class LetsFloodsIn(AdmissionQueue):
    def _check_room(self, job):
        if self.waiting(job.priority) >= 3:
            raise QueueFullError('full', retry_after_s=1)


@pytest.mark.fuzz
class TestBrokenQueues:
    @pytest.mark.parametrize(
        'broken',
        [
            TakesTwice,
            LosesJobs,
            ServesLowestFirst,
            UnboundedFloor,
            NeverAges,
            NoStragglerShare,
            IdlesForShortWork,
            RefusesUntruthfully,
            ExpiresWorkThatRan,
            LetsFloodsIn,
        ],
    )
    def test_machine_catches(self, broken):
        machine = type('Broken', (QueueMachine,), {'queue_class': broken})
        Budget(400, 60).expect_caught(machine, (AssertionError, KeyError))
