"""Commands to backend servers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState


class CommandKind(StrEnum):
    """Name what a server is told to do."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'

    @property
    def reads_weights(self) -> bool:
        """State whether the command reads from the weight store."""
        return self is not CommandKind.UNLOAD_MODEL


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """Tell a server to load or unload; numbers grow per server."""

    kind: CommandKind
    model: str
    version: str
    fencing: int


class CommandNotSentError(OriolegaugeError):
    """Report a command that was not sent, for lack of time or connection."""

    code = ResultCode.NO_SERVER


class CommandRejectedError(OriolegaugeError):
    """Report a command that the server refused, as for an old number."""

    code = ResultCode.SERVER_FAILED
    run_state = RunState.NOT_RUN


class CommandTarget(Protocol):
    """Reach backend servers."""

    async def send(
        self, server: str, command: Command, *, send_before: float
    ) -> None:
        """Send the command and return when it has ended.

        The first byte must leave before `send_before` (seconds of the clock);
        check it after connecting and raise CommandNotSentError when too late.
        Other errors tell by `run_state` whether the command may still run.
        """

    async def loaded(self, server: str) -> frozenset[str]:
        """Return what the server has loaded: `model` or `model:version`."""
