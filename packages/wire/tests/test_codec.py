import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oriolegauge.core import RunState
from oriolegauge.testkit.fuzzing import Budget
from oriolegauge.wire import (
    Envelope,
    MalformedMessageError,
    Sender,
    decode,
    encode,
)
from oriolegauge.wire.messages import MESSAGE_TYPES, Failure, Heartbeat

PLAIN = {
    int: st.integers(0, 2**16 - 1),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=40),
    bool: st.booleans(),
    RunState: st.sampled_from(RunState),
    float: st.floats(0, 1e6),
    float | None: st.none() | st.floats(0, 1e6),
}


def values_of(hint: object) -> st.SearchStrategy:
    if hint in PLAIN:
        return PLAIN[hint]
    if typing.get_origin(hint) is tuple:
        item = values_of(typing.get_args(hint)[0])
        return st.lists(item, max_size=4).map(tuple)
    if typing.get_origin(hint) is frozenset:
        item = values_of(typing.get_args(hint)[0])
        return st.frozensets(item, max_size=4)
    fields = typing.get_type_hints(hint)
    return st.builds(
        hint, **{name: values_of(kind) for name, kind in fields.items()}
    )


senders = st.builds(Sender, st.text(max_size=9), st.text(max_size=9))
envelopes = st.builds(
    Envelope,
    message_id=st.integers(0, 2**64 - 1),
    sender=senders,
    message=st.sampled_from(list(MESSAGE_TYPES.values())).flatmap(values_of),
    reply_to=st.integers(0, 2**64 - 1),
    position=st.integers(0, 2**32 - 1),
    one_way=st.booleans(),
)


@pytest.mark.fuzz
class TestCodec:
    def test_decoding_restores_each_message(self):
        """Guards against a field that is lost or changed by the encoding."""

        @given(envelopes)
        def same(envelope):
            assert decode(encode(envelope)) == envelope

        Budget(300).run_property(same)

    def test_damaged_bytes_raise_only_malformed_message(self):
        """Guards against damaged bytes that crash the task reading a link."""

        @given(envelopes, st.data())
        def survive(envelope, data):
            payload = bytearray(encode(envelope))
            for _ in range(data.draw(st.integers(1, 4))):
                place = data.draw(st.integers(0, len(payload) - 1))
                payload[place] = data.draw(st.integers(0, 255))
            cut = data.draw(st.integers(0, len(payload)))
            for damaged in (bytes(payload), bytes(payload[:cut])):
                try:
                    assert isinstance(decode(damaged), Envelope)
                except MalformedMessageError:
                    continue

        Budget(300).run_property(survive)

    def test_values_out_of_range_are_rejected(self):
        """Guards against a value that is truncated without an error."""
        sender = Sender('a', 'b')
        for message in (
            Heartbeat(
                member='m',
                incarnation='i',
                zone='z',
                state='s',
                queue_lengths=(-1,),
            ),
            Failure(code=2**16, run_state=RunState.RAN, message='x'),
            Failure(code=1, run_state=RunState.RAN, message='\ud800'),
        ):
            with pytest.raises(MalformedMessageError):
                encode(Envelope(message_id=1, sender=sender, message=message))
