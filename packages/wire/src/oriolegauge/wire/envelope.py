"""Frame around each message between daemons."""

from dataclasses import dataclass

from oriolegauge.wire.messages import Message


@dataclass(frozen=True, slots=True)
class Sender:
    """Name a member and the incarnation of its process."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """Hold a message with its id, its sender and what it answers.

    `reply_to` is 0 for messages that answer nothing. `position` is the place
    of the message in a streamed answer.
    """

    message_id: int
    sender: Sender
    message: Message
    reply_to: int = 0
    position: int = 0
    one_way: bool = False
