"""Orders to backend servers: which models they load, one at a time."""

from oriolegauge.placement.command import (
    Command,
    CommandKind,
    CommandNotSentError,
    CommandRejectedError,
    CommandTarget,
)
from oriolegauge.placement.decision import next_move
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.placer import Placer, StepResult
from oriolegauge.placement.situation import (
    ModelGoal,
    Move,
    PlacementState,
    ServerModelState,
)

__all__ = (
    'Command',
    'CommandKind',
    'CommandNotSentError',
    'CommandRejectedError',
    'CommandTarget',
    'ModelGoal',
    'Move',
    'PlacementSettings',
    'PlacementState',
    'Placer',
    'ServerModelState',
    'StepResult',
    'next_move',
)
