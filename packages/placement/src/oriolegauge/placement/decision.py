"""Choose the next move of a model's leader.

A model is only unloaded by its own leader, one server at a time. Two leaders
therefore never take the last two servers of a model at once.
"""

from oriolegauge.placement.command import CommandKind
from oriolegauge.placement.situation import (
    Move,
    PlacementState,
    ServerModelState,
)

# A model gives a server away only when it keeps this many more than it wants,
# so that a small change of demand does not move servers to and fro.
SPARE_SERVERS = 1


def next_move(model: str, situation: PlacementState) -> Move | None:
    """Return the next command for the model, or None if all is well."""
    if model not in situation.goals:
        return None
    return (
        _load(model, situation)
        or _load_extra(model, situation)
        or _unload(model, situation)
    )


def _load(model: str, situation: PlacementState) -> Move | None:
    if len(situation.holders(model)) >= situation.wanted(model):
        return None
    free = situation.free_for(model)
    if not free:
        return None
    # The server with the fewest choices goes first and leaves others free.
    chosen = min(free, key=lambda server: (len(server.may_load), server.name))
    return Move(
        server=chosen.name,
        kind=CommandKind.LOAD_MODEL,
        model=model,
        expected=chosen.loaded,
    )


def _load_extra(model: str, situation: PlacementState) -> Move | None:
    for server in situation.holders(model):
        for extra, kind in situation.goals[model].extras.items():
            if extra not in server.loaded:
                return Move(
                    server=server.name,
                    kind=kind,
                    model=model,
                    version=extra.partition(':')[2],
                )
    return None


def _unload(model: str, situation: PlacementState) -> Move | None:
    holders = situation.holders(model)
    if len(holders) < 2 or not _should_give(model, situation):
        return None
    needy = _needy(model, situation)
    useful = [
        server
        for server in holders
        if len(server.models()) >= server.room and needy & server.may_load
    ]
    if not useful:
        return None
    chosen = min(useful, key=lambda server: server.name)
    return Move(
        server=chosen.name,
        kind=CommandKind.UNLOAD_MODEL,
        model=model,
        keepers=_others(holders, chosen),
    )


def _others(
    holders: list[ServerModelState], chosen: ServerModelState
) -> tuple[str, ...]:
    return tuple(server.name for server in holders if server is not chosen)


def _needy(model: str, situation: PlacementState) -> frozenset[str]:
    return frozenset(
        other
        for other in situation.goals
        if other != model
        and len(situation.holders(other)) < situation.wanted(other)
        and not situation.free_for(other)
    )


def _should_give(model: str, situation: PlacementState) -> bool:
    needy = _needy(model, situation)
    if not needy:
        return False
    count = len(situation.holders(model))
    if count >= situation.wanted(model) + SPARE_SERVERS:
        return True
    # Without spare servers anywhere, a model that has work and no server at
    # all gets one from the model with the most.
    starving = any(
        situation.waiting.get(other, 0) and not situation.holders(other)
        for other in needy
    )
    richest = max(
        situation.goals,
        key=lambda other: (len(situation.holders(other)), other),
    )
    return starving and richest == model
