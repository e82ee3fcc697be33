"""State of models and servers that a placement decision is based on."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from oriolegauge.placement.command import CommandKind


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelGoal:
    """Set how many servers a model should have and what they load.

    `variants` maps `model:version` names (adapters and weight versions) to
    the command that loads them.
    """

    model: str
    tokens_per_server: int
    min_servers: int = 1
    max_servers: int = 1_000
    variants: Mapping[str, CommandKind] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerModelState:
    """Describe what a server has loaded and may load, as last reported.

    `room` is the number of models that fit on the server.
    """

    name: str
    loaded: frozenset[str]
    may_load: frozenset[str]
    leaving: bool = False
    room: int = 1

    def models(self) -> frozenset[str]:
        """Return the loaded models, without adapters and versions."""
        return frozenset(name for name in self.loaded if ':' not in name)

    def has_room(self) -> bool:
        """Return whether one more model fits."""
        return len(self.models()) < self.room


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementState:
    """Hold goals, servers and the tokens waiting per model."""

    goals: Mapping[str, ModelGoal]
    servers: tuple[ServerModelState, ...]
    waiting: Mapping[str, int]

    def holders(self, model: str) -> list[ServerModelState]:
        """Return the servers that have the model and are not leaving."""
        return [
            server
            for server in self.servers
            if model in server.loaded and not server.leaving
        ]

    def loadable_servers(self, model: str) -> list[ServerModelState]:
        """Return the servers that can load the model now."""
        return [
            server
            for server in self.servers
            if model in server.may_load
            and model not in server.loaded
            and server.has_room()
            and not server.leaving
        ]

    def target_count(self, model: str) -> int:
        """Return how many servers the model should have for its demand."""
        goal = self.goals[model]
        waiting = self.waiting.get(model, 0)
        needed = -(-waiting // goal.tokens_per_server)
        return min(goal.max_servers, max(goal.min_servers, needed))


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedCommand:
    """Describe a command to one server and what it was based on.

    It may be sent only if the server has `expected` loaded (for a load), or if
    one of the `remaining_holders` still has the model (for an unload).
    """

    server: str
    kind: CommandKind
    model: str
    version: str = ''
    expected: frozenset[str] = frozenset()
    remaining_holders: tuple[str, ...] = ()
