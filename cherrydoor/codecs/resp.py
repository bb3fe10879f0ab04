"""The platform's hosts: commands out and answers in, as RESP arrays of bulk strings. Bounded; no I/O.

A Reader is fed bytes and gives Answers; once it is spoilt the connection is of no more use.
"""

import re
from dataclasses import dataclass, field

LARGEST_BODY = 1 << 20
BOUNDS = (64, 16, 4096, LARGEST_BODY)  # bytes of id, word, fields and body
LINE = re.compile(rb"[*$](0|[1-9]\d{0,9})\r\n")
LONGEST_LINE = 13
DONE, MISSING, FULL, BROKE, PAST, FIT, UNFIT = (
    "done",
    "missing",
    "full",
    "broke",
    "past",
    "fit",
    "unfit",
)
WORDS = {
    b"DONE": DONE,
    b"LACK": MISSING,
    b"WAIT": FULL,
    b"BROKE": BROKE,
    b"PAST": PAST,
    b"FIT": FIT,
    b"UNFIT": UNFIT,
}
NOTES = {"hit": 1, "spawn": 2, "pending": 3, "spawn_failed": 4}


class Spoilt(Exception):
    """What came cannot be read as an answer."""


@dataclass(slots=True)
class Answer:
    """note: 1 a copy stood, 2 a load was begun, 3 one was awaited, 4 it failed, 0 not said; crowd, copies: None where
    not said; meter: the load report."""

    id: str
    word: str
    note: int = 0
    crowd: int | None = None
    copies: int | None = None
    meter: dict = field(default_factory=dict)
    body: bytes = b""


def command(*words):
    """Words as one RESP array.

    >>> command(b"drop", b"a1")
    b'*2\\r\\n$4\\r\\ndrop\\r\\n$2\\r\\na1\\r\\n'
    """
    return b"*%d\r\n" % len(words) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    )


def execute(number, kind, function, limit, body, idempotency_key=""):
    """limit: ms that the gateway waits. The client's idempotency key, where it gave one, passes on unchanged."""
    fields = f"cls={kind},item={function},limit={max(1, int(limit))}"
    if idempotency_key:
        fields += f",nonce={idempotency_key}"
    return command(b"exec", number.encode(), fields.encode(), body)


def drop(number):
    return command(b"drop", number.encode())


def health(tag):
    return command(b"health", tag.encode())


def ensure(tag, function, copies):
    return command(b"ensure", tag.encode(), f"item={function},copies={copies}".encode())


def release(function):
    return command(b"release", function.encode())


def count(text):
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise Spoilt(f"no count: {text[:20]!r}")
    return int(text)


def report(text):
    """A load report; what is no figure spoils the answer.

    >>> report("inflight:7;util:0.61")
    {'inflight': 7.0, 'util': 0.61}
    """
    found = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        try:
            figure = float(value)
        except ValueError:
            raise Spoilt(f"no load report: {pair[:40]!r}") from None
        if not colon or not name or not 0 <= figure < 1e12:
            raise Spoilt(f"no load report: {pair[:40]!r}")
        found[name] = figure
    return found


def answer_of(words):
    """An Answer of the four words of an array; unknown fields are passed over."""
    number, word, fields, body = words
    if word not in WORDS:
        raise Spoilt(f"no answer's word: {word[:20]!r}")
    try:
        answer, said = (
            Answer(number.decode("ascii"), WORDS[word], body=body),
            fields.decode("ascii"),
        )
    except UnicodeDecodeError:
        raise Spoilt("an id or fields that are not text") from None
    for pair in said.split(",") if said != "-" and said else ():
        name, equals, value = pair.partition("=")
        if not equals or not name:
            raise Spoilt(f"no field: {pair[:40]!r}")
        if name == "tell":
            if value not in NOTES:
                raise Spoilt(f"no note: {value[:20]!r}")
            answer.note = NOTES[value]
        elif name == "queue_fn":
            answer.crowd = count(value)
        elif name == "copies":
            answer.copies = count(value)
        elif name == "meter":
            answer.meter = report(value)
    return answer


class Reader:
    """`held` is what of an unfinished answer has come: never more than the bounds of one. `spoilt` says why nothing
    more is read."""

    def __init__(self):
        self.held, self.spoilt = bytearray(), ""

    def feed(self, data):
        """Answers that are whole; what came before something spoilt counts."""
        if self.spoilt:
            return []
        self.held += data
        found, at = [], 0
        try:
            while True:
                words, end = self.array(at)
                if words is None:
                    break
                found.append(answer_of(words))
                at = end
        except Spoilt as error:
            self.spoilt, at = str(error), len(self.held)
        del self.held[:at]
        return found

    def line(self, at, mark):
        """The number of a line that begins here and where it ends; (None, at) while it is not whole."""
        held = self.held
        if at >= len(held):
            return None, at
        if held[at] != mark:
            raise Spoilt("neither an array nor a bulk string where one is due")
        found = LINE.match(held, at)
        if found:
            return int(found[1]), found.end()
        rest = bytes(held[at + 1 : at + LONGEST_LINE])
        digits = rest.rstrip(b"\r")
        if (
            len(rest) >= LONGEST_LINE - 1
            or b"\n" in rest
            or digits
            and not digits.isdigit()
            or rest[:1] == b"\r"
        ):
            raise Spoilt("a length that cannot be read")
        return None, at

    def array(self, at):
        size, at = self.line(at, 42)
        if size is None:
            return None, at
        if size != len(BOUNDS):
            raise Spoilt(f"an answer of {size} words")
        words = []
        for bound in BOUNDS:
            size, at = self.line(at, 36)
            if size is None:
                return None, at
            if size > bound:
                raise Spoilt(f"a word of {size} bytes")
            if len(self.held) < at + size + 2:
                if self.held[at + size : at + size + 1] not in (b"", b"\r"):
                    raise Spoilt("a length that does not fit")
                return None, at
            if self.held[at + size : at + size + 2] != b"\r\n":
                raise Spoilt("a length that does not fit")
            words.append(bytes(self.held[at : at + size]))
            at += size + 2
        return words, at
