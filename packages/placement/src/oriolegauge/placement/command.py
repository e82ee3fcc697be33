"""Commands that load or unload models on backend servers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState


class CommandKind(StrEnum):
    """Name the action that a command asks for."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'

    @property
    def reads_weights(self) -> bool:
        """Return whether the command reads from the weight store."""
        return self is not CommandKind.UNLOAD_MODEL


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """Ask a server to load or unload; `fencing` increases per server."""

    kind: CommandKind
    model: str
    version: str
    fencing: int


class CommandNotSentError(OriolegaugeError):
    """Report a command not sent: too late, or no connection."""

    code = ResultCode.NO_SERVER


class CommandRejectedError(OriolegaugeError):
    """Report a command that the server rejected, as a stale number is."""

    code = ResultCode.SERVER_FAILED
    run_state = RunState.NOT_RUN


class CommandTarget(Protocol):
    """Send commands to backend servers and read what they have loaded."""

    async def send(
        self, server: str, command: Command, *, send_before: float
    ) -> None:
        """Send the command and return when the server has finished it.

        The first byte must be sent before `send_before` (seconds of the
        clock): check it after connecting and raise CommandNotSentError if it
        is too late. The `run_state` of other errors states whether the command
        may still run.
        """

    async def loaded(self, server: str) -> frozenset[str]:
        """Return the loaded names: `model` or `model:version`."""
