"""Reply of a server with its complete body."""

from dataclasses import dataclass

from oriolegauge.forwarding.serverreply import ServerReply


@dataclass(frozen=True, slots=True)
class WholeReply:
    """Hold a reply with its complete body."""

    reply: ServerReply
    body: bytes

    @property
    def summary(self) -> str:
        """Describe the reply for the logs."""
        framing = ' unframed' if self.reply.ends_with_connection else ''
        return f'{self.reply.status}{framing}, {len(self.body)} bytes'
