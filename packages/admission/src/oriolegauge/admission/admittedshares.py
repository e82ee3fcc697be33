"""Floors below which no kind, workspace or size of requests is admitted.

A request that would be refused is admitted if too few of its like were. Each
offered request earns its keys a part of an admission; each admission costs one.
"""

from collections import OrderedDict
from collections.abc import Collection, Hashable

# A kind or workspace is starved if it is served a quarter as often as all, the
# largest requests of a kind if half as often as the kind. Admitted requests may
# still fail, so the floors lie above.
GROUP_FLOOR = 0.3
SIZE_FLOOR = 0.65
# Share of a kind that is admitted even if hardly anything else is. Its answers
# tell whether the loads by which the rest is refused are right.
LEAST_FLOOR = 0.1
# Weight of one request in the share of all that were admitted.
SMOOTHING = 0.05
# Floors make up for no more than this many refusals at once.
MAX_CREDIT = 2.0
# Admissions beyond the floor count for this many later refusals, so that the
# first seconds of a peak, while the slots are overfull, need no floor.
MAX_ADVANCE = 3.0
MAX_KEYS = 4096


class AdmittedShares:
    """Count what the floors owe to each key, in bounded memory."""

    def __init__(self) -> None:
        """Start as if all had been admitted."""
        self._shares: OrderedDict[Hashable, float] = OrderedDict()
        self._credits: dict[Hashable, float] = {}

    def offer(self, *, kind: str, workspace: str | None, size: int) -> bool:
        """Count a request; state whether a floor owes it its admission.

        `size` is 0 for the sizes of a kind that have no floor of their own.
        """
        floor = max(LEAST_FLOOR, GROUP_FLOOR * self._share('all'))
        self._earn(('kind', kind), floor)
        if workspace is not None:
            self._earn(('team', workspace), GROUP_FLOOR * self._share('all'))
        if size:
            share = self._share(('kind', kind))
            # At most twice the refusals of the kind, and half its admissions.
            floor = max(2 * share - 1, SIZE_FLOOR * share)
            self._earn(('size', kind, size), floor)
        return self.owes(kind=kind, workspace=workspace, size=size)

    def owes(self, *, kind: str, workspace: str | None, size: int) -> bool:
        """State whether a floor owes an admission to such a request."""
        return any(
            self._credits.get(key, 0) >= 1
            for key in _keys(kind, workspace, size)
        )

    def note(
        self, *, kind: str, workspace: str | None, size: int, admitted: bool
    ) -> None:
        """Record what happened to a request that was offered."""
        for share in ('all', ('kind', kind)):
            known = self._share(share)
            self._shares[share] = known + SMOOTHING * (admitted - known)
            self._shares.move_to_end(share)
        if admitted:
            for key in _keys(kind, workspace, size):
                self._credits[key] = max(
                    -MAX_ADVANCE, self._credits.get(key, 0) - 1
                )
        if len(self._credits) > MAX_KEYS:
            self._credits.clear()
        while len(self._shares) > MAX_KEYS:
            self._shares.popitem(last=False)

    def _share(self, key: Hashable) -> float:
        return self._shares.get(key, 1.0)

    def _earn(self, key: Hashable, credit: float) -> None:
        held = self._credits.get(key, 0)
        self._credits[key] = min(MAX_CREDIT, held + credit)


def _keys(kind: str, workspace: str | None, size: int) -> Collection[Hashable]:
    keys: list[Hashable] = [('kind', kind)]
    if workspace is not None:
        keys.append(('team', workspace))
    if size:
        keys.append(('size', kind, size))
    return keys
