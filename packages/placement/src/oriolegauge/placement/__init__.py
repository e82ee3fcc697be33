"""Placement of models: commands to servers, one at a time per server."""

from oriolegauge.placement.command import (
    Command,
    CommandKind,
    CommandNotSentError,
    CommandRejectedError,
    CommandTarget,
)
from oriolegauge.placement.decision import plan_command
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.placementstate import (
    ModelGoal,
    PlacementState,
    PlannedCommand,
    ServerModelState,
)
from oriolegauge.placement.placer import Placer, StepResult

__all__ = (
    'Command',
    'CommandKind',
    'CommandNotSentError',
    'CommandRejectedError',
    'CommandTarget',
    'ModelGoal',
    'PlacementSettings',
    'PlacementState',
    'Placer',
    'PlannedCommand',
    'ServerModelState',
    'StepResult',
    'plan_command',
)
