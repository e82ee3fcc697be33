"""Measure how processor time grows, without network input or output."""

import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from bench.slope import Slope, cpu_us, fit
from bench.slopefixtures import (
    engines_value,
    frame,
    heartbeat,
    intents_value,
    member_table,
    shard_value,
)
from oriolegauge.admission import AdmissionQueue, Job, QueueLimits, ServerSlots
from oriolegauge.budget.shard import Flush, Settlement, apply_flush
from oriolegauge.config import ConfigTree
from oriolegauge.core import Priority, first
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.objectstore import StoredObject
from oriolegauge.routing import Router, ServerView
from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.routing.work import PromptPart, Work
from oriolegauge.wire import decode
from oriolegauge.wire.messages import Heard, Heartbeat

ROUNDS = 3
CPU_METHOD = 'process time, least of 15 samples'
HOLDER = 'daemon-000/00000000'
NOW = 1.0
MODEL = 'toaster-7b'


@dataclass(frozen=True, slots=True)
class _Task:
    """Hold the calls to time for one slope."""

    name: str
    xs: tuple[int, ...]
    actions: tuple[Callable[[], Any], ...]
    item: str
    how: str


def slopes() -> list[Slope]:
    """Return the slopes of processor time in microseconds.

    The rounds are seconds apart. If the host is slow for a while, this raises
    the error of a slope rather than the slope.
    """
    tasks = [*_flushes(), *_codecs(), *_members(), *_queue(), *_routing()]
    rounds = [
        [[cpu_us(action) for action in task.actions] for task in tasks]
        for _ in range(ROUNDS)
    ]
    return [
        _fit_rounds(task, [taken[index] for taken in rounds])
        for index, task in enumerate(tasks)
    ]


def _fit_rounds(task: _Task, rounds: list[list[float]]) -> Slope:
    def line(values: list[float]) -> Slope:
        return fit(
            task.name,
            task.xs,
            values,
            unit='us',
            item=task.item,
            how=task.how,
        )

    best = line([min(column) for column in zip(*rounds, strict=True)])
    each = [line(values).slope for values in rounds]
    half_range = float(f'{(max(each) - min(each)) / 2:.4g}')
    return dataclasses.replace(best, error=max(best.error, half_range))


def _time_task(
    name: str,
    xs: tuple[int, ...],
    prepare: Callable[[int], Callable[[], Any]],
    item: str,
    how: str = CPU_METHOD,
) -> _Task:
    return _Task(name, xs, tuple(prepare(x) for x in xs), item, how)


def _flushes() -> list[_Task]:
    return [
        _time_task(
            'flush_us_per_budget',
            (10, 100, 300, 1_000),
            lambda x: _flush(shard_value(budgets=x, holders=6), keyed=False),
            'budget of the shard',
        ),
        _time_task(
            'flush_us_per_holder',
            (6, 50, 200, 700),
            lambda x: _flush(shard_value(budgets=1, holders=x), keyed=False),
            'holder with one grant',
        ),
        _time_task(
            'flush_us_per_key',
            (100, 2_000, 8_000, 20_000),
            lambda x: _flush(
                shard_value(budgets=1, holders=6, keys=x), keyed=True
            ),
            'settled key of the shard',
        ),
        _time_task(
            'flush_us_per_settlement',
            (1, 20, 100, 400),
            lambda x: _flush(
                shard_value(budgets=20, holders=6, keys=100),
                keyed=True,
                settlements=x,
            ),
            'settlement in the flush',
        ),
    ]


def _flush(
    shard: dict[str, Any], *, keyed: bool, settlements: int = 1
) -> Callable[[], Any]:
    flush = Flush(
        holder=HOLDER,
        last_position=200_000,
        settlements=tuple(
            Settlement(
                150_000 + number,
                'team-001/budget-0000',
                f'{number:032x}',
                3,
                keyed,
            )
            for number in range(settlements)
        ),
    )
    return lambda: apply_flush(shard, flush)


def _codecs() -> list[_Task]:
    shard = 'encode and decode the JSON value once; ' + CPU_METHOD
    return [
        _time_task(
            'shard_codec_us_per_budget',
            (10, 100, 300, 1_000),
            lambda x: _encode_and_decode(shard_value(budgets=x)),
            'budget',
            shard,
        ),
        _time_task(
            'shard_codec_us_per_holder',
            (6, 50, 200, 700),
            lambda x: _encode_and_decode(shard_value(budgets=1, holders=x)),
            'holder with one grant',
            shard,
        ),
        _time_task(
            'shard_codec_us_per_key',
            (100, 2_000, 8_000, 20_000),
            lambda x: _encode_and_decode(shard_value(keys=x)),
            'settled key',
            shard,
        ),
        _time_task(
            'intent_codec_us',
            (10, 100, 500, 2_000),
            lambda x: _encode_and_decode(intents_value(x)),
            'intent',
            shard,
        ),
        *(
            _time_task(
                f'heartbeat_{kind}_us_per_{rows}',
                xs,
                lambda x, rows=rows, kind=kind: _heartbeat(rows, x, kind),
                f'row of {rows}',
            )
            for kind in ('encode', 'decode')
            for rows, xs in (
                ('versions', (10, 100, 400, 1_000)),
                ('servers', (9, 100, 500, 2_500)),
                ('heard', (8, 50, 200, 700)),
            )
        ),
    ]


def _encode_and_decode(value: Any) -> Callable[[], Any]:
    return lambda: orjson.loads(orjson.dumps(value))


def _heartbeat(rows: str, count: int, kind: str) -> Callable[[], Any]:
    counts = {'versions': 0, 'servers': 0, 'heard': 0, rows: count}
    message = heartbeat(**counts)
    raw = frame(message)
    return (
        (lambda: frame(message)) if kind == 'encode' else (lambda: decode(raw))
    )


def _members() -> list[_Task]:
    return [
        _time_task(
            'member_view_us',
            (8, 50, 200, 700),
            _view,
            'member',
            'one view of the member table; ' + CPU_METHOD,
        ),
        _time_task(
            'member_observe_us',
            (8, 50, 200, 700),
            _observe,
            'row of heard',
            'one heartbeat into the member table; ' + CPU_METHOD,
        ),
        _time_task(
            'owner_rank_us',
            (8, 50, 200, 700),
            lambda x: _rank([f'daemon-{number:03}' for number in range(x)]),
            'member',
            'owner of one request id; ' + CPU_METHOD,
        ),
    ]


def _view(count: int) -> Callable[[], Any]:
    table = member_table(count, heard=0)
    return lambda: table.view(0.2)


def _observe(count: int) -> Callable[[], Any]:
    table = member_table(count, heard=0)
    rows = tuple(
        Heard(f'daemon-{number:03}', f'{number:08x}', 100)
        for number in range(count)
    )
    beat = Heartbeat(
        member='daemon-000',
        incarnation='00000000',
        zone='zone-a',
        state='serving',
        heard=rows,
    )
    return lambda: table.observe(beat, 0.2)


def _rank(names: list[str]) -> Callable[[], Any]:
    return lambda: first('team-001/5f3a9c015f3a9c01', names)


def _queue() -> list[_Task]:
    return [
        _time_task(
            'queue_job_us',
            (50, 200, 400, 800),
            _offer_and_take,
            'job',
            'offer N jobs of 20 teams, then take and finish them; '
            + CPU_METHOD,
        ),
        _time_task(
            'queue_deadline_us_per_waiting',
            (50, 200, 400, 800),
            _offer_with_deadline,
            'waiting job of the team',
            'offer and remove one job with a deadline; ' + CPU_METHOD,
        ),
    ]


def _job(number: int, *, teams: int = 20, deadline: float | None = None) -> Job:
    return Job(
        request_id=f'request-{number}',
        team=f'team-{number % teams}',
        priority=Priority.NORMAL,
        predicted_tokens=100 + number % 50,
        enqueued_at=NOW,
        model=MODEL,
        deadline=deadline,
    )


def _offer_and_take(count: int) -> Callable[[], Any]:
    jobs = [_job(number) for number in range(count)]
    servers = [
        ServerSlots(name='engine-1', models=frozenset({MODEL}), free=8, limit=8)
    ]

    def work() -> None:
        queue = AdmissionQueue(rng=random.Random(1))
        for job in jobs:
            queue.offer(job, NOW)
        for _ in jobs:
            taken = queue.take(servers, NOW)
            assert taken is not None
            queue.finished(taken, 100, NOW + 1)

    return work


def _offer_with_deadline(count: int) -> Callable[[], Any]:
    queue = AdmissionQueue(
        rng=random.Random(1), limits=QueueLimits(team_share_of_free=100)
    )
    servers = [
        ServerSlots(name='engine-1', models=frozenset({MODEL}), free=8, limit=8)
    ]
    for number in range(count + 20):
        queue.offer(_job(number, teams=1), NOW)
    for _ in range(20):
        taken = queue.take(servers, NOW)
        assert taken is not None
        queue.finished(taken, 100, NOW + 0.1)
    job = _job(1_000_000, teams=1, deadline=1e9)

    def work() -> None:
        queue.offer(job, NOW)
        queue.remove(job.request_id)

    return work


def _routing() -> list[_Task]:
    xs = (6, 50, 200, 800)
    return [
        _time_task(
            'router_choose_us',
            xs,
            lambda x: _choose(x, None),
            'candidate',
        ),
        _time_task(
            'router_choose_prefix_us',
            xs,
            lambda x: _choose(x, 'prefix-1'),
            'candidate',
        ),
        _time_task(
            'place_prompt_us',
            (6, 70, 200, 800),
            _place_prompt,
            'candidate',
            'one placement by learned speeds of a prompt with two shared '
            'parts, all servers loaded; ' + CPU_METHOD,
        ),
        _time_task(
            'router_progress_us',
            (6, 200, 800, 2_500),
            _progress,
            'server with samples',
            'one latency sample, judged against the median; ' + CPU_METHOD,
        ),
        _time_task(
            'server_list_us',
            (6, 50, 200, 2_500),
            _server_list,
            'configured server',
            'usable servers of a model and team; ' + CPU_METHOD,
        ),
    ]


def _router_with_samples(count: int) -> Router:
    router = Router(zone='zone-a', rng=random.Random(1))
    for number in range(count):
        name = f'engine-{number:04}'
        router.started(name, 256, NOW)
        router.progress(name, 16, 0.1 + number * 1e-5, NOW)
    return router


def _choose(count: int, prefix: str | None) -> Callable[[], Any]:
    router = _router_with_samples(count)
    views = [
        ServerView(name=f'engine-{number:04}', zone='zone-a')
        for number in range(count)
    ]
    return lambda: router.choose(views, prefix, NOW)


def _place_prompt(count: int) -> Callable[[], Any]:
    chooser = ServerChooser(
        zone='zone-0', rng=random.Random(1), adapts_to_load=True
    )
    servers = [
        Candidate(
            name=f'engine-{number:04}',
            zone=f'zone-{number % 3}',
            slots=12,
            service=MODEL,
        )
        for number in range(count)
    ]
    work = Work(
        prompt_tokens=9_000,
        output_tokens=60,
        body_bytes=9_000,
        shared_parts=(PromptPart('manual', 2_500), PromptPart('s1', 3_800)),
        objective_s=0.6,
        longest_pause_s=0.4,
    )
    chooser.note_peers(
        {
            server.name: PeerLoad(5, 3_000, 40_000, 0.4, 0.4)
            for server in servers
        }
    )
    for server in servers[::3]:
        unread = chooser.started(server.name, work)
        chooser.answered(server.name, unread, seconds=0.2, now=NOW)
    return lambda: chooser.choose(servers, work, NOW, is_index_current=True)


def _progress(count: int) -> Callable[[], Any]:
    router = _router_with_samples(count)
    return lambda: router.progress('engine-0000', 16, 0.1, NOW)


def _server_list(count: int) -> Callable[[], Any]:
    tree = ConfigTree()
    tree.apply(
        StoredObject('config/servers', 1, {'engines': engines_value(count)})
    )
    pool = ServerPool(tree=tree, is_leaving=lambda _: False)
    return lambda: pool.usable(MODEL, ('*',))
