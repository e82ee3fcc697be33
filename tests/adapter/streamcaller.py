"""Caller that takes a broken stream up again, at any daemon."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from operator import attrgetter

from tests.ports import HOST

from .soakfleet import KEY, TOKENS_PER_EVENT, SoakFleet

RETRY_PAUSE_S = 0.2
# The route's `timeoutMs`.
TRY_TIMEOUT_S = 3.0
# A try with less time left is not made.
SHORTEST_TRY_S = 0.05
# Tokens of each part of a prompt. Daemons keep servers for long prompts and
# place shared parts where they were read: both lengths, and prompts without
# shared parts, spread the streams and their take-ups over all servers.
PART_TOKENS = (100, 4_000, 4_000, 4_000)
SHARED_PARTS_SHARE = 0.25
TOPICS = 12
CONNECTION_ERRORS = (OSError, EOFError, TimeoutError, ValueError)


@dataclass(frozen=True)
class CallerPolicy:
    """Limit the tries of one caller; `events` is the length of its stream.

    `breaks` is how often the caller's own connection breaks between events.
    """

    events: int
    deadline_s: float = 4.0
    most_tries: int = 1_000
    breaks: int = 0


@dataclass
class Try:
    """Hold what one request of a caller brought.

    `status` is 0 if no answer began, `versions` are those of its events, and
    `serving` is the number of ready servers of the stream's version.
    """

    attempt: str
    sent_at: float
    last_id: int
    serving: int = 0
    status: int = 0
    ended_at: float = 0
    versions: list[str] = field(default_factory=list)

    @property
    def is_take_up(self) -> bool:
        return self.last_id > 0


@dataclass(frozen=True)
class Resumption:
    """Hold the take-ups after one break of a stream."""

    tries: list[Try]

    @property
    def went_on(self) -> bool:
        return any(one.versions for one in self.tries)

    @property
    def serving(self) -> int:
        """Return how many servers of the version were ready all the time."""
        return min(one.serving for one in self.tries)


class StreamCaller:
    """Ask for one stream until it is whole or the deadline has passed."""

    def __init__(
        self,
        fleet: SoakFleet,
        rng: random.Random,
        policy: CallerPolicy,
        count_serving: Callable[[str], int],
    ) -> None:
        self.tries: list[Try] = []
        self.first_attempt = ''
        self.last_id = 0
        # Numbers of events that don't follow the one before them.
        self.misplaced: list[int] = []
        self._fleet = fleet
        self._rng = rng
        self._policy = policy
        self._count_serving = count_serving
        # Half of the streams share all prompt parts and the body, so that
        # these alone don't tell streams apart.
        own = rng.choice(['shared', f'{rng.getrandbits(40):x}'])
        part_tokens = rng.choice(PART_TOKENS)
        parts = [own]
        if rng.random() < SHARED_PARTS_SHARE:
            parts.insert(0, f'topic{rng.randrange(TOPICS)}')
        self._prompt_tokens = len(parts) * part_tokens
        self._parts = ','.join(f'{one}:{part_tokens}' for one in parts)
        self._body = f'body {own}'
        self._breaks_after = set(
            rng.sample(range(1, policy.events), policy.breaks)
        )

    @property
    def versions(self) -> list[str]:
        """Return the versions of the events, in their order."""
        return [one for each in self.tries for one in each.versions]

    @property
    def take_ups(self) -> list[Try]:
        return [one for one in self.tries if one.is_take_up]

    @property
    def is_whole(self) -> bool:
        return self.last_id == self._policy.events

    @property
    def is_joined(self) -> bool:
        return len(set(self.versions)) > 1

    @property
    def is_joined_in_an_answer(self) -> bool:
        return any(len(set(one.versions)) > 1 for one in self.tries)

    @property
    def resumptions(self) -> list[Resumption]:
        """Return the take-ups, grouped by the event that they follow."""
        groups = itertools.groupby(self.take_ups, attrgetter('last_id'))
        return [Resumption(list(group)) for _, group in groups]

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._policy.deadline_s
        while len(self.tries) < self._policy.most_tries:
            left_s = min(until - loop.time(), TRY_TIMEOUT_S)
            if left_s < SHORTEST_TRY_S:
                return
            attempt = f'{self._rng.getrandbits(64):016x}'
            one = Try(attempt, loop.time(), self.last_id)
            if self.versions:
                one.serving = self._count_serving(self.versions[0])
            self.tries.append(one)
            await self._send(one, left_s)
            one.ended_at = loop.time()
            if self.is_whole:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send(self, one, left_s):
        front = self._fleet.ports[self._rng.choice(self._daemons())][0]
        try:
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(HOST, front)
                with contextlib.closing(writer):
                    writer.write(self._request(one, left_s))
                    head = await reader.readuntil(b'\r\n\r\n')
                    one.status = int(head.split()[1])
                    if b'chunked' in head:
                        await self._read_events(one, reader)
        except CONNECTION_ERRORS:
            """A cut answer states no outcome; its events are kept."""

    def _daemons(self):
        # Without a process left, any address refuses the connection.
        return sorted(self._fleet.processes) or list(range(self._fleet.size))

    def _request(self, one, left_s):
        most = self._policy.events * TOKENS_PER_EVENT
        lines = [
            'POST /stream/x HTTP/1.1',
            'Host: h.example',
            f'X-Oriolegauge-Attempt-Id: {one.attempt}',
            f'X-Oriolegauge-Deadline-Ms: {int(left_s * 1000)}',
            f'X-Api-Key: {KEY}',
            f'X-Oriolegauge-Token-Usage: {self._prompt_tokens},{most}',
            f'X-Oriolegauge-Prompt-Prefix: {self._parts}',
            f'Content-Length: {len(self._body)}',
        ]
        if one.is_take_up:
            lines.append(f'Last-Event-Id: {self.last_id}')
            lines.append(f'Resumes: {self.first_attempt}')
        return '\r\n'.join([*lines, '', self._body]).encode()

    async def _read_events(self, one, reader):
        pending = b''
        while size := int(await reader.readline(), 16):
            pending += (await reader.readexactly(size + 2))[:-2]
            *events, pending = pending.split(b'\n\n')
            for event in events:
                self._note_event(one, event.decode())
            if self.last_id in self._breaks_after:
                self._breaks_after.remove(self.last_id)
                return

    def _note_event(self, one, event):
        fields = dict(line.split(': ', 1) for line in event.split('\n'))
        number = int(fields['id'])
        if number != self.last_id + 1:
            self.misplaced.append(number)
        self.last_id = number
        self.first_attempt = self.first_attempt or one.attempt
        one.versions.append(fields['data'].split()[0])
