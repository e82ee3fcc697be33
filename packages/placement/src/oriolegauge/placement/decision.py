"""Choose the next command of a model's leader.

A model is only unloaded by its own leader, one server at a time, so two
leaders never unload a model from its last two servers at once.
"""

from oriolegauge.placement.command import CommandKind
from oriolegauge.placement.placementstate import (
    PlacementState,
    PlannedCommand,
    ServerModelState,
)

# A model is unloaded only if it has this many servers more than its target, so
# that a small change of demand does not make servers load and unload in turn.
SPARE_SERVERS_BEFORE_UNLOAD = 1


def plan_command(model: str, state: PlacementState) -> PlannedCommand | None:
    """Return the next command for the model, or None if none is needed."""
    if model not in state.goals:
        return None
    return (
        _load(model, state)
        or _load_variant(model, state)
        or _unload(model, state)
    )


def _load(model: str, state: PlacementState) -> PlannedCommand | None:
    if len(state.holders(model)) >= state.target_count(model):
        return None
    free = state.loadable_servers(model)
    if not free:
        return None
    # Use the server that may load the fewest models, which leaves the others
    # free for other models.
    chosen = min(free, key=lambda server: (len(server.may_load), server.name))
    return PlannedCommand(
        server=chosen.name,
        kind=CommandKind.LOAD_MODEL,
        model=model,
        expected=chosen.loaded,
    )


def _load_variant(model: str, state: PlacementState) -> PlannedCommand | None:
    for server in state.holders(model):
        for variant, kind in state.goals[model].variants.items():
            if variant not in server.loaded:
                return PlannedCommand(
                    server=server.name,
                    kind=kind,
                    model=model,
                    version=variant.partition(':')[2],
                )
    return None


def _unload(model: str, state: PlacementState) -> PlannedCommand | None:
    holders = state.holders(model)
    if len(holders) < 2 or not _should_unload(model, state):
        return None
    underserved = _underserved(model, state)
    useful = [
        server
        for server in holders
        if len(server.models()) >= server.room and underserved & server.may_load
    ]
    if not useful:
        return None
    chosen = min(useful, key=lambda server: server.name)
    return PlannedCommand(
        server=chosen.name,
        kind=CommandKind.UNLOAD_MODEL,
        model=model,
        remaining_holders=_others(holders, chosen),
    )


def _others(
    holders: list[ServerModelState], chosen: ServerModelState
) -> tuple[str, ...]:
    return tuple(server.name for server in holders if server is not chosen)


def _underserved(model: str, state: PlacementState) -> frozenset[str]:
    return frozenset(
        other
        for other in state.goals
        if other != model
        and len(state.holders(other)) < state.target_count(other)
        and not state.loadable_servers(other)
    )


def _should_unload(model: str, state: PlacementState) -> bool:
    underserved = _underserved(model, state)
    if not underserved:
        return False
    count = len(state.holders(model))
    if count >= state.target_count(model) + SPARE_SERVERS_BEFORE_UNLOAD:
        return True
    # Without spare servers, a model that has waiting requests but no server
    # gets one from the model with the most servers.
    has_unserved = any(
        state.waiting.get(other, 0) and not state.holders(other)
        for other in underserved
    )
    largest = max(
        state.goals,
        key=lambda other: (len(state.holders(other)), other),
    )
    return has_unserved and largest == model
