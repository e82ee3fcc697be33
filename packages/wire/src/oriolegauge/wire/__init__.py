"""Messages between daemons and the WebSocket links that carry them."""

from oriolegauge.wire.codec import decode, encode
from oriolegauge.wire.envelope import Envelope, Sender
from oriolegauge.wire.errors import (
    MalformedMessageError,
    MessageTooLargeError,
    PeerBusyError,
    PeerFailedError,
    PeerTimeoutError,
    PeerUnreachableError,
    StreamOverflowError,
    WireError,
)
from oriolegauge.wire.linklimits import LinkLimits
from oriolegauge.wire.peerlink import LINK_PATH, PeerLink, one_way_frame
from oriolegauge.wire.peerserver import PeerServer

__all__ = (
    'LINK_PATH',
    'Envelope',
    'LinkLimits',
    'MalformedMessageError',
    'MessageTooLargeError',
    'PeerBusyError',
    'PeerFailedError',
    'PeerLink',
    'PeerServer',
    'PeerTimeoutError',
    'PeerUnreachableError',
    'Sender',
    'StreamOverflowError',
    'WireError',
    'decode',
    'encode',
    'one_way_frame',
)
