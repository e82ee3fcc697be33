"""States of a daemon from startup to shutdown."""

from collections.abc import Callable

from transitions import Machine

STATES = ('starting', 'serving', 'draining', 'drained', 'stopped')


class Lifecycle:
    """Move from starting to stopped; transitions out of order are ignored."""

    state: str
    serve: Callable[[], bool]
    drain: Callable[[], bool]
    finish: Callable[[], bool]
    stop: Callable[[], bool]

    def __init__(self) -> None:
        """Start in the state `starting`."""
        self._machine = Machine(
            model=self,
            states=STATES,
            initial='starting',
            transitions=[
                ['serve', 'starting', 'serving'],
                ['drain', ['starting', 'serving'], 'draining'],
                ['finish', 'draining', 'drained'],
                ['stop', '*', 'stopped'],
            ],
            ignore_invalid_triggers=True,
            auto_transitions=False,
        )

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send new requests."""
        return self.state == 'serving'
