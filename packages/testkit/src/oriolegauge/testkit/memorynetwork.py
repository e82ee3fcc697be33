"""In-memory network that loses, delays, repeats and reorders calls."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class LinkLostError(OriolegaugeError):
    """Report a call without an answer, which may have been executed."""

    code = ResultCode.PEER_UNREACHABLE


@dataclass(frozen=True, slots=True)
class MemoryMember:
    """Describe a daemon by its name and availability zone."""

    name: str
    zone: str


@dataclass(slots=True)
class _Node:
    member: MemoryMember
    target: Any
    running: asyncio.Event = field(default_factory=asyncio.Event)


class MemoryNetwork:
    """Deliver calls to the `handle_*` methods of registered targets.

    `loss` is the share of requests that are lost, and also the share of
    answers. `repeat` is the share of requests that are delivered again after
    up to `repeat_s`.
    """

    def __init__(
        self, *, rng: random.Random, latency_s: float = 0, repeat_s: float = 0.5
    ) -> None:
        self.loss = 0.0
        self.repeat = 0.0
        self.calls = 0
        self._rng = rng
        self._latency_s = latency_s
        self._repeat_s = repeat_s
        self._nodes: dict[str, _Node] = {}
        self._cuts: set[frozenset[str]] = set()
        self._repeats: set[asyncio.Task[None]] = set()

    def join(self, name: str, zone: str, target: Any) -> None:
        node = _Node(MemoryMember(name, zone), target)
        node.running.set()
        self._nodes[name] = node

    def leave(self, name: str) -> None:
        self._nodes.pop(name, None)

    def pause(self, name: str) -> None:
        self._nodes[name].running.clear()

    def resume(self, name: str) -> None:
        self._nodes[name].running.set()

    def cut(self, one: str, other: str) -> None:
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        self._cuts.clear()
        self.loss = 0.0
        self.repeat = 0.0

    def members(self, name: str) -> list[MemoryMember]:
        return [
            node.member for other, node in self._nodes.items() if other != name
        ]

    async def call(
        self, source: str, peer: str, method: str, message: Any
    ) -> Any:
        self.calls += 1
        node = self._nodes.get(peer)
        await self._apply_latency()
        if self._is_lost(source, peer) or node is None:
            raise LinkLostError(f'no answer from {peer}')
        if self._rng.random() < self.repeat:
            self._repeat(node, method, message)
        await node.running.wait()
        answer = await getattr(node.target, f'handle_{method}')(message)
        await self._apply_latency()
        if self._is_lost(source, peer) or self._nodes.get(peer) is not node:
            raise LinkLostError(f'no answer from {peer}')
        return answer

    def _is_lost(self, source: str, peer: str) -> bool:
        is_cut = frozenset((source, peer)) in self._cuts
        return is_cut or self._rng.random() < self.loss

    async def _apply_latency(self) -> None:
        if self._latency_s:
            await asyncio.sleep(self._latency_s * self._rng.uniform(0.5, 1.5))

    def _repeat(self, node: _Node, method: str, message: Any) -> None:
        again = asyncio.create_task(self._deliver(node, method, message))
        self._repeats.add(again)
        again.add_done_callback(self._repeats.discard)

    async def _deliver(self, node: _Node, method: str, message: Any) -> None:
        await asyncio.sleep(self._repeat_s * self._rng.random())
        await node.running.wait()
        if self._nodes.get(node.member.name) is node:
            await getattr(node.target, f'handle_{method}')(message)


class MemoryPeers:
    """Links of a daemon to its peers, with the calls of budget managers.

    While `running` is cleared, the daemon is paused: its calls neither start
    nor return.
    """

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name
        self.running = asyncio.Event()
        self.running.set()

    def members(self) -> Sequence[MemoryMember]:
        return self._network.members(self._name)

    async def reserve(self, peer: str, message: Any) -> Any:
        return await self._call(peer, 'reserve', message)

    async def settle(self, peer: str, message: Any) -> Any:
        return await self._call(peer, 'settle', message)

    async def release(self, peer: str, message: Any) -> Any:
        return await self._call(peer, 'release', message)

    async def recall(self, peer: str, message: Any) -> Any:
        return await self._call(peer, 'recall', message)

    async def append_journal(self, peer: str, message: Any) -> Any:
        return await self._call(peer, 'journal_append', message)

    async def query_journals(self, message: Any) -> list[Any]:
        answers = await asyncio.gather(
            *(
                asyncio.wait_for(
                    self._call(one.name, 'journal_query', message), 0.5
                )
                for one in self.members()
            ),
            return_exceptions=True,
        )
        return [one for one in answers if not isinstance(one, BaseException)]

    async def _call(self, peer: str, method: str, message: Any) -> Any:
        await self.running.wait()
        answer = await self._network.call(self._name, peer, method, message)
        await self.running.wait()
        return answer
