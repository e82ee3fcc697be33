"""Metadata that is sent with each message between daemons."""

from dataclasses import dataclass

from oriolegauge.wire.messages import Message


@dataclass(frozen=True, slots=True)
class Sender:
    """Identify a member and the incarnation of its process."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """Hold a message with its id, its sender and the request it answers.

    `reply_to` is the id of the message that this one answers or cancels, or 0.
    `position` counts the messages of a streamed answer from 0. A `one_way`
    message gets no answer.
    """

    message_id: int
    sender: Sender
    message: Message
    reply_to: int = 0
    position: int = 0
    one_way: bool = False
