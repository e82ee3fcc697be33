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
    ServerSituation,
    Situation,
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
    'Placer',
    'ServerSituation',
    'Situation',
    'StepResult',
    'next_move',
)
