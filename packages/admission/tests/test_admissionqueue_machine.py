"""Fuzz the admission queue and compare it with a plain list of jobs.

Guards against jobs that are lost, taken twice, served in the wrong order or
rejected although they could run. Queues with a known fault show that the
state machine detects each of them.
"""

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
        self.lowest_class_tokens = 0
        self.slowest_s_per_token = 0.0

    @initialize()
    def measure(self):
        """Run one job, so that the queue has a token rate for deadlines."""
        self.offer('a', Priority.NORMAL, 100, 'm1', None, None)
        self.take({'s1'})
        self.advance(10.0)
        self.finish(random.Random(1), 100)

    @rule(
        team=st.sampled_from('abc'),
        priority=st.sampled_from(Priority),
        tokens=st.sampled_from([10, 100, 400, 5000]),
        model=st.sampled_from(['m1', 'm2']),
        deadline_in_s=st.sampled_from([None, None, -1.0, 5.0, 60.0, 5000.0]),
        allowed=st.sampled_from([None, None, {'s2'}, {'s1', 's3'}]),
    )
    def offer(self, team, priority, tokens, model, deadline_in_s, allowed):
        self.count += 1
        job = Job(
            request_id=f'r{self.count}',
            team=team,
            priority=priority,
            predicted_tokens=tokens,
            enqueued_at=self.now,
            model=model,
            deadline=None
            if deadline_in_s is None
            else self.now + deadline_in_s,
            allowed_servers=allowed and frozenset(allowed),
        )
        is_long = tokens > self.queue.straggler_tokens
        try:
            self.queue.offer(job, self.now)
        except QueueFullError as rejection:
            self.check_queue_full(job, rejection)
        except DeadlineUnreachableError as rejection:
            self.check_deadline_unreachable(job, rejection)
        else:
            self.waiting[job.request_id] = Entry(job, is_long)

    def check_queue_full(self, job, rejection):
        assert rejection.run_state is RunState.NOT_RUN
        assert rejection.retry_after_s > 0
        same = [e for e in self.unexpired() if e.job.priority == job.priority]
        own = sum(e.job.team == job.team for e in same)
        free = LIMITS.max_waiting_per_class - len(same)
        assert own >= free * LIMITS.team_share_of_free or free <= 0

    def check_deadline_unreachable(self, job, rejection):
        assert rejection.run_state is RunState.NOT_RUN
        assert rejection.retry_after_s > 0
        ahead = sum(e.job.predicted_tokens for e in self.unexpired())
        ahead += job.predicted_tokens
        # The slowest case is one slot at the lowest speed measured so far.
        worst = self.now + 1.1 * ahead * self.slowest_s_per_token
        assert worst > job.deadline, (
            'rejected although the deadline is reachable'
        )

    def unexpired(self):
        return [e for e in self.waiting.values() if not self.has_expired(e)]

    def has_expired(self, entry):
        deadline = entry.job.deadline
        if entry.has_run or deadline is None:
            return False
        return deadline <= self.now

    def slots(self, names):
        return [
            ServerSlots(
                name=name,
                models=frozenset(MODELS[name].split()),
                free=SLOTS[name] - self.running_on(name),
                limit=SLOTS[name],
            )
            for name in sorted(names)
        ]

    def running_on(self, name):
        return sum(e.server == name for e in self.running.values())

    def stragglers_on(self, name):
        return sum(
            e.server == name and e.is_long for e in self.running.values()
        )

    def fits_server(self, entry, server):
        allowed = entry.job.allowed_servers
        if entry.job.model not in server.models:
            return False
        return allowed is None or server.name in allowed

    def fitting_entries(self, servers):
        return [
            entry
            for entry in self.unexpired()
            if any(self.fits_server(entry, server) for server in servers)
        ]

    @rule(names=st.sets(st.sampled_from(['s1', 's2', 's3']), min_size=1))
    def take(self, names):
        slots = self.slots(names)
        free = [server for server in slots if server.free > 0]
        fitting_entries = self.fitting_entries(free)
        job = self.queue.take(slots, self.now)
        if job is None:
            assert not fitting_entries, 'a slot stays idle although a job fits'
            return
        assert job.request_id in self.waiting, 'taken twice or never added'
        entry = self.waiting[job.request_id]
        assert entry in fitting_entries, 'expired, or no free server may run it'
        self.check_job_order(entry, fitting_entries, free)
        self.waiting.pop(job.request_id)
        names = self.queue.candidates(job, slots)
        assert names, 'no server for a taken job'
        by_name = {server.name: server for server in free}
        for name in names:
            assert self.fits_server(entry, by_name[name])
            self.check_straggler_share(entry, by_name[name])
        entry.server = names[self.count % len(names)]
        entry.has_run = True
        entry.started_at = self.now
        self.running[job.request_id] = entry
        self.queue.placed(job.request_id, entry.server)
        self.taken_tokens += job.predicted_tokens

    def check_job_order(self, entry, fitting_entries, free):
        job = entry.job
        if any(other.job.priority < job.priority for other in fitting_entries):
            lowest = max(e.job.priority for e in self.unexpired())
            assert job.priority == lowest, (
                'a class that is not the lowest runs before a higher one'
            )
            self.lowest_class_tokens += job.predicted_tokens
        share = LIMITS.lowest_class_share
        floor = self.taken_tokens * share / (1 - share) + 1e-6
        assert self.lowest_class_tokens <= floor, (
            'the lowest class exceeds its share'
        )
        rate = LIMITS.ageing_tokens_per_s
        for other in fitting_entries:
            same = (other.job.team, other.job.priority, other.is_long)
            if same != (job.team, job.priority, entry.is_long):
                continue
            ageing_s = other.job.predicted_tokens / rate
            assert job.enqueued_at <= other.job.enqueued_at + ageing_s + 1e-6, (
                'runs before a job that has aged enough'
            )

    def check_straggler_share(self, entry, server):
        if not entry.is_long:
            return
        share = max(1, int(server.limit * LIMITS.straggler_share))
        if self.stragglers_on(server.name) >= share:
            assert not self.has_short_job(entry, server), 'too many stragglers'

    def has_short_job(self, entry, server):
        return any(
            not other.is_long
            and other.job.priority <= entry.job.priority
            and self.fits_server(other, server)
            for other in self.unexpired()
        )

    @rule(deadline_in_s=st.sampled_from([None, 5000.0]))
    def fill_with_stragglers(self, deadline_in_s):
        """Fill a server with stragglers before a short job arrives."""
        for _ in range(4):
            self.offer('a', Priority.NORMAL, 5000, 'm1', deadline_in_s, {'s2'})
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
            # At least a second: a job without duration has no token rate.
            self.now += 1.0
            self.record_speed(entry, tokens)
        self.queue.finished(entry.job, tokens, self.now)

    def record_speed(self, entry, tokens):
        seconds = self.now - entry.started_at
        self.slowest_s_per_token = max(
            self.slowest_s_per_token, seconds / tokens
        )

    @precondition(lambda self: self.running)
    @rule(rng=st.randoms(use_true_random=False))
    def become_straggler(self, rng):
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
        assert self.has_short_job(entry, server), (
            'paused although no short job waits'
        )
        self.record_speed(entry, 50)
        self.queue.paused(job, 50, self.now)
        entry.server = None
        self.waiting[job.request_id] = entry

    @rule()
    def expire(self):
        due = {n for n, e in self.waiting.items() if self.has_expired(e)}
        expired = [job.request_id for job in self.queue.expire(self.now)]
        assert sorted(expired) == sorted(due), (
            'expired twice, too early or never'
        )
        for name in expired:
            self.waiting.pop(name)

    @precondition(lambda self: self.unexpired())
    @rule(rng=st.randoms(use_true_random=False))
    def remove(self, rng):
        self.expire()
        if self.waiting:
            name = rng.choice(sorted(self.waiting))
            assert self.queue.remove(name) is self.waiting.pop(name).job

    @invariant()
    def no_job_is_lost(self):
        assert len(self.queue) >= len(self.unexpired())
        assert len(self.queue) <= len(self.waiting)
        assert self.queue.running == len(self.running)


@pytest.mark.fuzz
class TestQueueMachine:
    def test_queue_agrees_with_a_plain_list(self):
        Budget(60, 60).run_machine(QueueMachine)


class TakesJobTwice(AdmissionQueue):
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


class ServesLowestClassFirst(AdmissionQueue):
    def _first_queued(self, levels, servers):
        return super()._first_queued(list(levels)[::-1], servers)


class UnboundedLowestClassShare(AdmissionQueue):
    def _next_queued(self, servers):
        self._lowest_class_credit = 1e9
        return super()._next_queued(servers)


class NeverAges(AdmissionQueue):
    def _rank(self, job):
        return job.predicted_tokens


class NoStragglerLimit(AdmissionQueue):
    def _straggler_slots(self, server):
        return server.limit


class KeepsSlotsForShortJobs(AdmissionQueue):
    def _has_short_work(self, server, priority):
        return True


class RejectsReachableDeadlines(AdmissionQueue):
    def _run_time(self, job):
        return 100 * super()._run_time(job)


class ExpiresPausedJobs(AdmissionQueue):
    def paused(self, job, tokens, now):
        super().paused(job, tokens, now)
        if job.deadline is not None:
            self._push_deadline(job.deadline, self._queued[job.request_id])


class NoTeamLimit(AdmissionQueue):
    def _check_capacity(self, job):
        if self.waiting(job.priority) >= 3:
            raise QueueFullError('full', retry_after_s=1)


@pytest.mark.fuzz
class TestBrokenQueues:
    @pytest.mark.parametrize(
        'broken',
        [
            TakesJobTwice,
            LosesJobs,
            ServesLowestClassFirst,
            UnboundedLowestClassShare,
            NeverAges,
            NoStragglerLimit,
            KeepsSlotsForShortJobs,
            RejectsReachableDeadlines,
            ExpiresPausedJobs,
            NoTeamLimit,
        ],
    )
    def test_machine_detects_fault(self, broken):
        machine = type('Broken', (QueueMachine,), {'queue_class': broken})
        Budget(400, 60).expect_caught(machine, (AssertionError, KeyError))
