"""Gate of a daemon: delays or refuses requests when capacity is short."""

import random
from collections.abc import Callable

from oriolegauge.admission.admittedshares import AdmittedShares
from oriolegauge.admission.gatedrequest import GatedRequest
from oriolegauge.admission.servicegate import GateTools, ServiceGate
from oriolegauge.admission.slottimes import SlotTimes
from oriolegauge.admission.waitingline import LineBounds

# Waiting requests hold a connection each; more than this many are served no
# sooner, since the fleet has some tens of daemons.
MAX_WAITING = 1_000


class LoadGate:
    """Keep the gates of all services; all times are loop seconds."""

    def __init__(
        self,
        *,
        rng: random.Random,
        members: Callable[[], int],
        max_bytes: int,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        """Hold at most `max_waiting` requests of `max_bytes` together."""
        self.slot_times = SlotTimes()
        self._tools = GateTools(
            bounds=LineBounds(max_waiting, max_bytes),
            shares=AdmittedShares(),
            slot_times=self.slot_times,
            rng=rng,
            members=members,
        )
        self._services: dict[str, ServiceGate] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return sum(gate.waiting for gate in self._services.values())

    def service(self, name: str) -> ServiceGate:
        """Return the gate of a service."""
        if name not in self._services:
            self._services[name] = ServiceGate(self._tools)
        return self._services[name]

    def ended(
        self, request: GatedRequest, *, first_s: float, rest_s: float
    ) -> None:
        """Record the slot time of a request that was answered whole.

        `first_s` is the time until its first event, `rest_s` from then on.
        """
        self.slot_times.ended(
            request.kind,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            first_s=first_s,
            rest_s=rest_s,
        )
