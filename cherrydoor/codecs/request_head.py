"""The heads of the platform's client requests: what a Call, a Ping and a BadRequest are."""

import re
from dataclasses import dataclass, field
from typing import Any

MAX_HEAD_BYTES, MAX_BODY_BYTES = 8 * 1024, 16 * 1024
MAX_HEAD_FIELDS = 100  # a request has about ten; h11 takes 3 us and 300 bytes for each
CALL_PATH = re.compile(rb"/call/([0-9a-f]{16})/sync\Z")
FAST_PATH_HEAD = re.compile(
    rb"(POST) (/call/[0-9a-f]{16}/sync) HTTP/(1\.1)\r\n"
    rb"((?:[A-Za-z0-9-]{1,40}: [!-~]{1,300}\r\n){1,32})\r\n"
)
FAST_PATH_EXCLUDED_HEADERS = (b"transfer-encoding", b"expect", b"connection", b"upgrade")
CALL_ID = re.compile(rb"[0-9a-f]{16}\Z")
NAME = re.compile(rb"[!-~]{1,256}\Z")
DECIMAL_NUMBER = re.compile(rb"\d{1,9}(\.\d{1,9})?\Z")
# The key becomes a field value of a host command, where commas and equals signs are separators.
IDEMPOTENCY_KEY = re.compile(rb"[!-+.-<>-~-]{1,128}\Z")
MIN_LANES, MAX_EXTRA_VALUE = 1.0, 1e7  # limits of the numbers in X-Extras
SINGLE_VALUE_HEADERS = {
    b"x-class",
    b"x-call-id",
    b"x-patience-ms",
    b"x-customer",
    b"x-extras",
    b"x-dedupe-key",
    b"content-length",
    b"host",
}


@dataclass(slots=True)
class Call:
    """A request as the client sent it.

    `extras` comes from X-Extras, `idempotency_key` from X-Dedupe-Key.
    """

    id: str
    request_class: str
    tenant: str
    function: str
    timeout_ms: float
    extras: dict[str, float] = field(default_factory=dict)
    body: bytes = b""
    idempotency_key: str = ""


@dataclass(slots=True)
class Ping:
    """A readiness probe."""


@dataclass(slots=True)
class BadRequest:
    """Input that is not a valid request: the HTTP status of the response, and its reason."""

    status: int
    reason: str


def read_extras(text: bytes) -> dict[str, float]:
    """Returns the numbers in an X-Extras header; ValueError names the entry that is invalid.

    >>> read_extras(b"memory_mb:512;lanes:2")
    {'memory_mb': 512.0, 'lanes': 2.0}
    """
    found: dict[str, float] = {}
    for pair in text.split(b";") if text else ():
        name, _, value = pair.partition(b":")
        key = name.decode("ascii", "replace")
        if (
            not name
            or not DECIMAL_NUMBER.match(value)
            or key in found
            or float(value) > MAX_EXTRA_VALUE
        ):
            raise ValueError(f"X-Extras: {key[:40]!r} is no figure that can be used")
        found[key] = float(value)
    if found.get("lanes", MIN_LANES) < MIN_LANES:
        raise ValueError("X-Extras: lanes is below 1")
    return found


def read_head(request: Any) -> Call | Ping | BadRequest:
    """Returns what a request's head describes; a Call has no body yet."""
    header_values: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in header_values and name in SINGLE_VALUE_HEADERS:
            return BadRequest(400, f"{name.decode()} is said twice")
        header_values[name] = value
    refusal = refuse_framing(request.http_version, header_values)
    if refusal is not None:
        return refusal
    size = int(header_values.get(b"content-length", b"0"))
    if request.target == b"/ping":
        if request.method == b"GET" and not size:
            return Ping()
        return BadRequest(405, "GET /ping, without a body")
    path = CALL_PATH.match(request.target)
    if not path:
        return BadRequest(404, "the path is /call/FUNCTION/sync, the function 16 hex digits")
    refusal = refuse_method(request.method, size) or refuse_fields(header_values)
    if refusal is not None:
        return refusal
    try:
        extra_values = read_extras(header_values.get(b"x-extras", b""))
    except ValueError as error:
        return BadRequest(400, str(error))
    return Call(
        header_values[b"x-call-id"].decode(),
        header_values[b"x-class"].decode(),
        header_values.get(b"x-customer", b"").decode(),
        path[1].decode(),
        float(header_values[b"x-patience-ms"]),
        extra_values,
        idempotency_key=header_values.get(b"x-dedupe-key", b"").decode(),
    )


def refuse_framing(http_version: bytes, header_values: dict[bytes, bytes]) -> BadRequest | None:
    """Returns why a head of this length, version and framing is refused; None if it is not."""
    if sum(map(len, header_values.values())) > MAX_HEAD_BYTES:
        return BadRequest(431, f"a head holds {MAX_HEAD_BYTES} bytes at most")
    if http_version != b"1.1":
        return BadRequest(505, "HTTP/1.1 is spoken here")
    # With a Content-Length as well, a Transfer-Encoding can hide a second call in the body.
    if b"transfer-encoding" in header_values:
        status = 400 if b"content-length" in header_values else 411
        return BadRequest(status, "a body's length is said by Content-Length alone")
    return None


def refuse_method(method: bytes, size: int) -> BadRequest | None:
    """Returns why a call with this method and size of body is refused; None if it is not."""
    if method != b"POST":
        return BadRequest(405, "a call is a POST")
    if size > MAX_BODY_BYTES:
        return BadRequest(413, f"a body holds {MAX_BODY_BYTES} bytes at most")
    return None


def refuse_fields(header_values: dict[bytes, bytes]) -> BadRequest | None:
    """Returns which field of a call, other than X-Extras, cannot be used; None if all can."""
    if not CALL_ID.match(header_values.get(b"x-call-id", b"")):
        return BadRequest(400, "X-Call-Id is 16 hex digits")
    if not NAME.match(header_values.get(b"x-class", b"")):
        return BadRequest(400, "X-Class names the event type")
    if b"x-customer" in header_values and not NAME.match(header_values[b"x-customer"]):
        return BadRequest(400, "X-Customer is no name")
    idempotency_key = header_values.get(b"x-dedupe-key", b"")
    if idempotency_key and not IDEMPOTENCY_KEY.match(idempotency_key):
        return BadRequest(
            400, "X-Dedupe-Key: up to 128 printable characters, without commas and equals signs"
        )
    timeout_ms = header_values.get(b"x-patience-ms", b"")
    if not DECIMAL_NUMBER.match(timeout_ms) or not float(timeout_ms):
        return BadRequest(400, "X-Patience-Ms is a number of milliseconds above 0")
    return None


@dataclass(slots=True)
class Head:
    """A request's head, with the attribute names that h11 uses."""

    method: bytes
    target: bytes
    http_version: bytes
    headers: list[tuple[bytes, bytes]]


def read_fast_path(data: bytes) -> Call | None:
    """Returns the Call if the bytes are exactly one valid call in simple form, otherwise None."""
    matched = FAST_PATH_HEAD.match(data)
    if matched is None:
        return None
    headers, has_host = [], False
    for line in matched[4][:-2].split(b"\r\n"):
        name, _, value = line.partition(b": ")
        name = name.lower()
        if (
            name in FAST_PATH_EXCLUDED_HEADERS
            or name == b"content-length"
            and not (value.isdigit() and len(value) < 6)
        ):
            return None
        has_host |= name == b"host"
        headers.append((name, value))
    message, size = read_head(Head(matched[1], matched[2], matched[3], headers)), 0
    for name, value in headers:
        if name == b"content-length":
            size = int(value)
    if not has_host or type(message) is not Call or len(data) != matched.end() + size:
        return None
    message.body = data[matched.end() :]
    return message
