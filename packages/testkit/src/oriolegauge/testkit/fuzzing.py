"""Runner of fuzz tests, repeatable by default or with a chosen seed.

With FUZZ_SEED set, tests use that seed and FUZZ_STEPS examples. Tests that
must detect a broken variant ignore both, since another seed could need more
examples than their stated number.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)


def seeded(
    machine: type[RuleBasedStateMachine], chosen: str
) -> type[RuleBasedStateMachine]:
    """Return a subclass of the machine with the seed.

    If the machine itself had the seed, its broken variants would inherit it.
    """
    copy = type(machine.__name__, (machine,), {})
    return seed(int(chosen))(copy)


@dataclass(frozen=True, slots=True)
class Budget:
    """Limit the examples of a fuzz test and the steps of each."""

    examples: int
    steps: int = 50

    def run_property(self, check: Callable[[], None]) -> None:
        """Run a property, a function decorated with `given`."""
        chosen = os.environ.get('FUZZ_SEED')
        limited = self._settings(chosen)(check)
        (seed(int(chosen))(limited) if chosen else limited)()

    def run_machine(self, machine: type[RuleBasedStateMachine]) -> None:
        """Run a state machine with the seed of FUZZ_SEED, if it is set."""
        chosen = os.environ.get('FUZZ_SEED')
        if chosen:
            machine = seeded(machine, chosen)
        run_state_machine_as_test(machine, settings=self._settings(chosen))

    def expect_caught(
        self,
        machine: type[RuleBasedStateMachine],
        errors: tuple[type[Exception], ...] = (AssertionError,),
        match: str | None = None,
    ) -> None:
        """Check that a machine over a broken variant raises one of `errors`.

        The seed is always the same.
        """
        limits = settings(
            self._settings(None),
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        with pytest.raises(errors, match=match):
            run_state_machine_as_test(machine, settings=limits)

    def _settings(self, chosen: str | None) -> settings:
        examples = os.environ.get('FUZZ_STEPS') if chosen else None
        return settings(
            max_examples=int(examples or self.examples),
            stateful_step_count=self.steps,
            derandomize=chosen is None,
            deadline=None,
            database=None,
            report_multiple_bugs=False,
        )
