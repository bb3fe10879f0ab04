"""The codec on valid and malicious bytes, split at any point.

Messages that are complete before an error are returned, and nothing after it.
"""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol.codec import FrameReader, FrameTooLargeError, encode

ids, durations_ms, names = st.integers(0, 2**62), st.floats(0, 1e10), st.text(max_size=30)
any_message = st.one_of(
    st.builds(
        protocol.Request,
        ids,
        names,
        names,
        st.floats(0.001, 1e10),
        st.floats(-1e15, 1e15),
        names,
        names,
        st.floats(0, 1e6),
        durations_ms,
        st.binary(max_size=300),
    ),
    st.builds(protocol.CancelRequest, ids),
    st.builds(
        protocol.Response, ids, st.sampled_from(["handled", "deferred"]), durations_ms, names
    ),
    st.builds(
        protocol.AttemptResult,
        ids,
        st.sampled_from(["full", "error"]),
        st.integers(0, 4),
        st.integers(0, 99),
    ),
    st.builds(protocol.LoadOrder, ids, names, st.integers(0, 16)),
    st.builds(protocol.FetchResult, ids, st.just("handled")),
    st.builds(
        protocol.EndpointUpdate,
        st.integers(0, 99),
        st.just("whole"),
        st.lists(st.builds(protocol.Endpoint, names, st.just("ready"))),
    ),
)
hello = protocol.Hello(protocol.VERSION, "client")


def feed(data, cuts=(), kinds=protocol.ALL_MESSAGES, **options):
    reader, found, edges = FrameReader(kinds, **options), [], [0, *sorted(cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        found += reader.feed(data[start:end])
    return found, reader


@settings(max_examples=60, deadline=None)
@given(st.lists(any_message, max_size=5), st.data())
def test_messages_are_decoded_as_they_were_encoded_at_any_split(messages, data):
    raw = b"".join(encode(x) for x in (hello, *messages))
    cuts = data.draw(st.lists(st.integers(0, len(raw)), max_size=12))
    found, reader = feed(raw, cuts)
    assert found == [hello, *messages] and reader.fault is None and reader.end() is None


def test_messages_are_decoded_when_the_bytes_arrive_one_by_one():
    raw = (
        encode(hello)
        + encode(protocol.CancelRequest(7))
        + encode(protocol.Response(9, "handled", body=b"x" * 70000))
    )
    found, reader = feed(raw[:400], range(400))
    found += reader.feed(raw[400:])
    assert [type(f) for f in found] == [
        protocol.Hello,
        protocol.CancelRequest,
        protocol.Response,
    ] and reader.fault is None


@settings(max_examples=150, deadline=None)
@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=6))
def test_malicious_bytes_give_an_error_or_messages_but_never_an_exception(junk, cuts):
    found, reader = feed(encode(hello) + encode(protocol.CancelRequest(1)) + junk, cuts)
    assert found[:2] == [hello, protocol.CancelRequest(1)]
    assert reader.fault is None or reader.feed(encode(protocol.CancelRequest(2))) == []


@settings(max_examples=60, deadline=None)
@given(any_message, st.integers(0, 250), st.integers(0, 255))
def test_one_changed_byte_never_raises_an_exception(message, at, byte):
    raw = bytearray(encode(message))
    raw[at % len(raw)] = byte
    feed(encode(hello) + bytes(raw))


def fault(body, kinds=protocol.ALL_MESSAGES, before=hello):
    return feed(
        (encode(before) if before else b"") + len(body).to_bytes(4, "big") + body, kinds=kinds
    )[1].fault


def test_each_kind_of_invalid_frame_has_its_own_reason():
    pack = msgspec.msgpack.encode
    assert "'nonsense'" in fault(pack({"is": "nonsense"}))
    assert "ask" in fault(pack({"is": "ask"}), kinds=protocol.FROM_CLIENT)
    assert "missing required field `id`" in fault(pack({"is": "withdraw"}))
    assert "Expected `int`" in fault(pack({"is": "withdraw", "id": "seven"}))
    assert "Expected `float`" in fault(
        pack(
            {
                "is": "event",
                "id": 1,
                "clause": "a",
                "function": "f",
                "lasts": float("nan"),
                "sent": 0.0,
            }
        )
    )
    assert (
        fault(b"") and fault(b"\xc1") and fault(pack([1, 2])) and fault(pack({"is": "ask"}) + b"x")
    )


def test_unknown_keys_are_ignored():
    body = msgspec.msgpack.encode({"is": "withdraw", "id": 3, "colour": "green"})
    assert feed(encode(hello) + len(body).to_bytes(4, "big") + body)[0][
        1
    ] == protocol.CancelRequest(3)


def test_a_hello_must_come_first_and_once_and_with_a_supported_version():
    assert feed(encode(protocol.CancelRequest(1)))[1].fault == "a hello must come first"
    assert feed(encode(hello) * 2)[1].fault == "a second hello"
    found, reader = feed(encode(protocol.Hello(9, "client")) + encode(protocol.CancelRequest(1)))
    assert found == [] and "version 9" in reader.fault


def test_a_frame_that_is_too_long_is_rejected_before_its_body_arrives():
    found, reader = feed(encode(hello) + (1001).to_bytes(4, "big"), max_frame_bytes=1000)
    assert "1001 bytes" in reader.fault and found == [hello]
    try:
        encode(protocol.Response(1, "handled", body=b"x" * 2000), largest=1000)
    except FrameTooLargeError as error:
        assert "1000 is the most" in str(error)
    else:
        raise AssertionError


def test_a_stream_that_ends_within_a_frame_gives_an_error():
    raw = encode(hello) + encode(protocol.CancelRequest(1))
    assert "ends within a frame" in feed(raw[:-1])[1].end()


def test_deep_nesting_gives_an_error():
    assert fault(b"\x91" * 100000)
