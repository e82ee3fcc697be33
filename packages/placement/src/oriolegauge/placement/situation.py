"""What a placement decision is based on."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from oriolegauge.placement.command import CommandKind


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelGoal:
    """State how many servers a model should have and what they hold.

    `extras` maps `model:version` names to the command that loads them.
    """

    model: str
    tokens_per_server: int
    min_servers: int = 1
    max_servers: int = 1_000
    extras: Mapping[str, CommandKind] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerModelState:
    """State what a server has loaded and may load; reports may be late."""

    name: str
    loaded: frozenset[str]
    may_load: frozenset[str]
    leaving: bool = False
    room: int = 1

    def models(self) -> frozenset[str]:
        """Return the loaded models, without adapters and versions."""
        return frozenset(name for name in self.loaded if ':' not in name)

    def has_room(self) -> bool:
        """State whether one more model fits."""
        return len(self.models()) < self.room


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementState:
    """Hold goals, servers and tokens waiting per model."""

    goals: Mapping[str, ModelGoal]
    servers: tuple[ServerModelState, ...]
    waiting: Mapping[str, int]

    def holders(self, model: str) -> list[ServerModelState]:
        """Return the servers that have the model and do not leave."""
        return [
            server
            for server in self.servers
            if model in server.loaded and not server.leaving
        ]

    def free_for(self, model: str) -> list[ServerModelState]:
        """Return the servers that can load the model now."""
        return [
            server
            for server in self.servers
            if model in server.may_load
            and model not in server.loaded
            and server.has_room()
            and not server.leaving
        ]

    def wanted(self, model: str) -> int:
        """Return how many servers the model should have."""
        goal = self.goals[model]
        waiting = self.waiting.get(model, 0)
        needed = -(-waiting // goal.tokens_per_server)
        return min(goal.max_servers, max(goal.min_servers, needed))


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Change one server that has loaded what is expected.

    An unloaded model stays on one of the keepers.
    """

    server: str
    kind: CommandKind
    model: str
    version: str = ''
    expected: frozenset[str] = frozenset()
    keepers: tuple[str, ...] = ()
