"""Continuous batching and prefix cache of the simulated engine."""

import asyncio
import heapq
import itertools
import re
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import xxhash

BASE_STEP_S = 0.004
SLOWDOWN_PER_STREAM = 0.02
MAX_BATCH = 32
PREFILL_TOKENS_PER_S = 50_000
CACHE_BLOCK_CHARS = 64
CACHE_BLOCKS = 4_096
DEFAULT_OUTPUT_TOKENS = 64
WORDS = ('bolt', 'chain', 'fuse', 'gear', 'lamp', 'motor', 'plug', 'wheel')
LENGTH_MARK = re.compile(r'\[len=(\d+)\]')


@dataclass(eq=False)
class Stream:
    """State of a request in the engine."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    position: int = 0
    tokens: asyncio.Queue[str | None] = field(default_factory=asyncio.Queue)
    cancelled: bool = False

    @property
    def length(self) -> int:
        mark = LENGTH_MARK.search(self.prompt)
        wanted = int(mark.group(1)) if mark else DEFAULT_OUTPUT_TOKENS
        return min(wanted, self.max_tokens)

    def token(self, index: int) -> str:
        digest = xxhash.xxh32_intdigest(f'{self.prompt}|{index}'.encode())
        return f'{WORDS[digest % len(WORDS)]}{index} '


class PrefixCache:
    """Hold hashes of prompt blocks and evict the least recently used."""

    def __init__(self, blocks: int = CACHE_BLOCKS) -> None:
        self._capacity = blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: deque[dict[str, object]] = deque(maxlen=1_000)
        self._numbers = itertools.count(1)
        self.hits = 0
        self.lookups = 0

    def uncached_chars(self, prompt: str) -> int:
        """Insert the prompt; return how many characters were not cached."""
        missing = 0
        hit = True
        for end in range(CACHE_BLOCK_CHARS, len(prompt) + 1, CACHE_BLOCK_CHARS):
            digest = xxhash.xxh64_hexdigest(prompt[:end].encode())
            self.lookups += 1
            hit = hit and digest in self._blocks
            self.hits += hit
            missing += 0 if hit else CACHE_BLOCK_CHARS
            self._insert(digest)
        return missing + len(prompt) % CACHE_BLOCK_CHARS

    def _insert(self, digest: str) -> None:
        if digest in self._blocks:
            self._blocks.move_to_end(digest)
            return
        self._blocks[digest] = None
        self._append_event('stored', digest)
        if len(self._blocks) > self._capacity:
            self._append_event('removed', self._blocks.popitem(last=False)[0])

    def _append_event(self, kind: str, digest: str) -> None:
        number = next(self._numbers)
        # Every seventh event is dropped, so that readers must handle gaps.
        if number % 7:
            self.events.append(
                {
                    'number': number,
                    'kind': kind,
                    'block': digest,
                }
            )


class Batch:
    """Generate one token per step for each active stream."""

    def __init__(self) -> None:
        self.active: list[Stream] = []
        self.waiting: list[tuple[int, int, Stream]] = []
        self.cache = PrefixCache()
        self.slow_factor = 1.0
        self.generated = 0
        self._order = itertools.count()
        self._wake = asyncio.Event()

    def add(self, stream: Stream) -> None:
        heapq.heappush(
            self.waiting, (stream.priority, next(self._order), stream)
        )
        self._wake.set()

    def cancel(self, request_id: str) -> bool:
        queued = [row[2] for row in self.waiting]
        for stream in self.active + queued:
            if stream.request_id == request_id:
                stream.cancelled = True
                return True
        return False

    async def run(self) -> None:
        while True:
            await self._admit_waiting()
            if not self.active:
                self._wake.clear()
                await self._wake.wait()
                continue
            factor = 1 + SLOWDOWN_PER_STREAM * len(self.active)
            await asyncio.sleep(BASE_STEP_S * factor * self.slow_factor)
            self._generate_tokens()

    async def _admit_waiting(self) -> None:
        while self.waiting and len(self.active) < MAX_BATCH:
            _, _, stream = heapq.heappop(self.waiting)
            if stream.cancelled:
                stream.tokens.put_nowait(None)
                continue
            tokens = self.cache.uncached_chars(stream.prompt) / 4
            await asyncio.sleep(
                tokens / PREFILL_TOKENS_PER_S * self.slow_factor
            )
            self.active.append(stream)

    def _generate_tokens(self) -> None:
        for stream in list(self.active):
            if stream.cancelled or stream.position >= stream.length:
                stream.tokens.put_nowait(None)
                self.active.remove(stream)
                continue
            stream.tokens.put_nowait(stream.token(stream.position))
            stream.position += 1
            self.generated += 1
