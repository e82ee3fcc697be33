"""Run fuzz tests with the same verdict each time, or with a chosen seed.

With FUZZ_SEED set, that seed and FUZZ_STEPS examples are used, except where a
broken variant has to be found: there the verdict depends on the stated budget.
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
    """Return a copy of the machine with the seed.

    A seed on the class itself would be inherited by its broken variants.
    """
    copy = type(machine.__name__, (machine,), {})
    return seed(int(chosen))(copy)


@dataclass(frozen=True, slots=True)
class Budget:
    """Bound the examples of a fuzz test and the steps of each."""

    examples: int
    steps: int = 50

    def run_property(self, check: Callable[[], None]) -> None:
        """Run a function decorated with `given`."""
        chosen = os.environ.get('FUZZ_SEED')
        limited = self._settings(chosen)(check)
        (seed(int(chosen))(limited) if chosen else limited)()

    def run_machine(self, machine: type[RuleBasedStateMachine]) -> None:
        """Run a state machine."""
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
        """Run a machine over a broken variant, always with the same seed."""
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
