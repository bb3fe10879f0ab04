"""Every message keeps its encoding.

`wire_bytes.json` was written before names in the code changed.
"""

import importlib
import json
import pkgutil
from dataclasses import astuple
from functools import reduce
from operator import or_
from pathlib import Path

import msgspec
import pytest
from msgspec import inspect
from platform_bytes import (
    BULLETIN,
    CLOSING_CALL,
    EXPECTING_CALL,
    HOST_ANSWER,
    HOST_NOTES,
    HOST_WORDS,
    PLAIN_CALL,
    all_bytes,
    host_answer,
)
from wire_messages import DIRECTIONS, MESSAGES

from cherrydoor import protocol as frames
from cherrydoor.codecs import invoke, resp, sse
from cherrydoor.protocol import basics, codec

GOLDEN = json.loads(Path(__file__).with_name("wire_bytes.json").read_text())
BOUNDS = ("gt", "ge", "lt", "le", "min_length", "max_length")


def all_structs():
    """Returns every wire record that the package defines: messages and the records within them."""
    found = []
    for module_info in pkgutil.iter_modules(frames.__path__):
        module = importlib.import_module(f"{frames.__name__}.{module_info.name}")
        for thing in vars(module).values():
            ours = isinstance(thing, type) and issubclass(thing, msgspec.Struct)
            if ours and thing.__module__ == module.__name__:
                found.append(thing)
    return found


def concrete_messages():
    """Returns every message class that is sent on its own, which therefore has a tag."""
    return [
        one
        for one in all_structs()
        if issubclass(one, basics.Message) and one is not basics.Message
    ]


def values_of(record):
    """Returns the values of a record in the order of its fields."""
    return [getattr(record, name) for name in record.__struct_fields__]


def records_in(value):
    """Yields every record in a value, including the value itself."""
    if isinstance(value, msgspec.Struct):
        yield value
        for inner in values_of(value):
            yield from records_in(inner)
    elif isinstance(value, list | tuple):
        for inner in value:
            yield from records_in(inner)


def default_of(field):
    """Returns the default of an optional field."""
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return field.default


def optional_values(record):
    """Yields (value, default) of each optional field."""
    for field in msgspec.structs.fields(type(record)):
        if not field.required:
            yield getattr(record, field.name), default_of(field)


def shape_of(kind):
    """Returns a description of a type in plain values, whose only names are those on the wire."""
    if isinstance(kind, inspect.StructType):
        fields = [
            [None if kind.array_like else field.encode_name, field.required, shape_of(field.type)]
            for field in kind.fields
        ]
        return [
            "record",
            kind.array_like,
            kind.tag_field,
            kind.tag,
            kind.forbid_unknown_fields,
            fields,
        ]
    if isinstance(kind, inspect.LiteralType):
        return ["one of", sorted(kind.values)]
    if isinstance(kind, inspect.EnumType):
        return ["one of", sorted(member.value for member in kind.cls)]
    if isinstance(kind, inspect.UnionType):
        return ["either", sorted((shape_of(one) for one in kind.types), key=repr)]
    if isinstance(kind, inspect.ListType):
        return ["list", kind.min_length, kind.max_length, shape_of(kind.item_type)]
    if isinstance(kind, inspect.TupleType):
        return ["tuple", [shape_of(one) for one in kind.item_types]]
    bounds = [
        [name, getattr(kind, name)] for name in BOUNDS if getattr(kind, name, None) is not None
    ]
    return [type(kind).__name__, bounds]


def shape_of_message(message_class):
    return shape_of(inspect.type_info(message_class))


def tag_of(message_class):
    return message_class.__struct_config__.tag


def all_shapes():
    """Returns tag -> shape, for every message."""
    return {tag_of(one): shape_of_message(one) for one in concrete_messages()}


def all_directions():
    """Returns the tags of the messages in each entry of DIRECTIONS."""
    return [[tag_of(one) for one in kinds] for kinds in DIRECTIONS]


def decoder():
    return msgspec.msgpack.Decoder(reduce(or_, concrete_messages()))


def test_every_message_occurs_in_the_table():
    in_table = {type(message) for message in MESSAGES.values()}
    assert in_table == set(concrete_messages())


def test_every_golden_id_begins_with_the_tag_of_its_message():
    for golden_id, message in MESSAGES.items():
        assert golden_id.split(" ")[0] == tag_of(type(message))


def test_every_record_occurs_with_all_defaults_replaced_and_with_none():
    replaced, untouched = set(), set()
    for message in MESSAGES.values():
        for record in records_in(message):
            pairs = list(optional_values(record))
            if all(value != default for value, default in pairs):
                replaced.add(type(record))
            if all(value == default for value, default in pairs):
                untouched.add(type(record))
    expected = set(all_structs()) - {basics.Message}
    assert replaced == expected
    assert untouched == expected


def test_table_and_golden_file_hold_the_same_messages():
    assert list(MESSAGES) == list(GOLDEN["messages"])


@pytest.mark.parametrize("golden_id", MESSAGES)
def test_every_message_keeps_its_bytes(golden_id):
    assert codec.encode(MESSAGES[golden_id]).hex() == GOLDEN["messages"][golden_id]


@pytest.mark.parametrize("golden_id", GOLDEN["messages"])
def test_every_golden_frame_is_read_as_its_message(golden_id):
    frame = bytes.fromhex(GOLDEN["messages"][golden_id])
    message = decoder().decode(frame[codec.PREFIX :])
    expected = MESSAGES[golden_id]
    assert type(message) is type(expected)
    assert values_of(message) == values_of(expected)


def test_a_reader_gives_all_golden_frames_in_order():
    hello = GOLDEN["messages"]["hello full"]
    rest = dict(GOLDEN["messages"])
    for golden_id in GOLDEN["messages"]:
        if golden_id.startswith("hello "):
            del rest[golden_id]
    reader = codec.FrameReader(tuple(concrete_messages()))
    found = reader.feed(bytes.fromhex(hello + "".join(rest.values())))
    assert reader.fault is None
    assert found == [MESSAGES["hello full"], *(MESSAGES[golden_id] for golden_id in rest)]


def test_every_message_keeps_its_wire_names_bounds_and_words():
    assert json.loads(json.dumps(all_shapes())) == GOLDEN["shapes"]


def test_each_end_takes_the_messages_that_it_took():
    assert all_directions() == GOLDEN["directions"]


def test_version_and_longest_frame_stay():
    assert GOLDEN["figures"] == [basics.VERSION, basics.DEFAULT_MAX_FRAME_BYTES, codec.PREFIX]


def test_everything_sent_on_the_platform_keeps_its_bytes():
    sent = {golden_id: data.hex() for golden_id, data in all_bytes().items()}
    assert sent == GOLDEN["platform"]


@pytest.mark.parametrize("data", [PLAIN_CALL, CLOSING_CALL, EXPECTING_CALL])
def test_a_call_on_the_platform_is_read_as_before(data):
    expected = invoke.Call(
        "fedcba9876543210",
        "draft",
        "harbour",
        "0123456789abcdef",
        2500.5,
        {"lanes": 2.0, "memory_mb": 512.0},
        b"body",
        "key-1",
    )
    assert invoke.Conversation().feed(data) == expected


def test_a_host_answer_is_read_as_before():
    [answer] = resp.Reader().feed(HOST_ANSWER)
    report = {"inflight": 7.0, "util": 0.61, "x0": 0.5}
    assert astuple(answer) == ("a1", resp.DONE, 1, 7, 2, report, b"body")


@pytest.mark.parametrize(("word", "meaning"), HOST_WORDS)
def test_each_word_of_a_host_is_read_as_before(word, meaning):
    [answer] = resp.Reader().feed(host_answer(word, b"-"))
    assert astuple(answer) == ("a1", meaning, 0, None, None, {}, b"")


@pytest.mark.parametrize(("word", "number"), HOST_NOTES)
def test_each_copy_state_of_a_host_is_read_as_before(word, number):
    [answer] = resp.Reader().feed(host_answer(b"DONE", b"tell=" + word))
    assert astuple(answer) == ("a1", resp.DONE, number, None, None, {}, b"")


def test_host_list_events_are_read_as_before():
    whole, nothing = sse.UpdateReader().feed(BULLETIN)
    assert astuple(whole) == (
        3,
        True,
        [
            ("i1", "10.0.0.1:4001", sse.READY, "z1", 2, 1700000000000.0),
            ("i2", "10.0.0.2:4001", sse.DRAINING, "", 0, 0.0),
            ("i3", "10.0.0.3:4001", sse.GONE, "", 0, 0.0),
        ],
    )
    assert astuple(nothing) == (4, False, None)
