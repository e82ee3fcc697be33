"""Lifecycle of a daemon."""

from collections.abc import Callable

from transitions import Machine

STATES = ('starting', 'serving', 'draining', 'drained', 'stopped')


class Lifecycle:
    """Step from starting to stopped; repeated steps are no-ops."""

    state: str
    serve: Callable[[], bool]
    drain: Callable[[], bool]
    finish: Callable[[], bool]
    stop: Callable[[], bool]

    def __init__(self) -> None:
        """Begin in `starting`."""
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
        """Tell the balancer whether to send new requests."""
        return self.state == 'serving'
