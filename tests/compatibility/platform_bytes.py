"""Bytes that are sent on the platform's wires for fixed inputs, and fixed bytes to receive."""

from cherrydoor.adapter import wire
from cherrydoor.codecs import invoke, resp, sse
from cherrydoor.routing import messages as interface

PLAIN_CALL = (
    b"POST /call/0123456789abcdef/sync HTTP/1.1\r\nHost: gateway\r\n"
    b"X-Call-Id: fedcba9876543210\r\nX-Class: draft\r\nX-Patience-Ms: 2500.5\r\n"
    b"X-Customer: harbour\r\nX-Extras: lanes:2;memory_mb:512\r\n"
    b"X-Dedupe-Key: key-1\r\nContent-Length: 4\r\n\r\nbody"
)
CLOSING_CALL = PLAIN_CALL.replace(b"Host: gateway\r\n", b"Host: gateway\r\nConnection: close\r\n")
EXPECTING_CALL = PLAIN_CALL.replace(
    b"Host: gateway\r\n", b"Host: gateway\r\nExpect: 100-continue\r\n"
)
PING = b"GET /ping HTTP/1.1\r\nHost: gateway\r\n\r\n"
HOST_ANSWER = (
    b"*4\r\n$2\r\na1\r\n$4\r\nDONE\r\n$70\r\n"
    b"tell=hit,queue_fn=7,copies=2,other=1,meter=inflight:7;util:0.61;x0:0.5\r\n$4\r\nbody\r\n"
)
HOST_WORDS = (
    (b"DONE", resp.DONE),
    (b"LACK", resp.MISSING),
    (b"WAIT", resp.FULL),
    (b"BROKE", resp.BROKE),
    (b"PAST", resp.PAST),
    (b"FIT", resp.FIT),
    (b"UNFIT", resp.UNFIT),
)
HOST_NOTES = (
    (b"hit", 1),
    (b"spawn", 2),
    (b"pending", 3),
    (b"spawn_failed", 4),
)
LIST_EVENTS = (
    b'data: {"no": 3, "roster": {"reset": true, "instances": ['
    b'{"instanceId": "i1", "hostPort": "10.0.0.1:4001", "lifecycle": "in_service",'
    b' "zone": "z1", "cell": 2, "startedAtMs": 1700000000000},'
    b' {"instanceId": "i2", "hostPort": "10.0.0.2:4001", "lifecycle": "terminating"},'
    b' {"instanceId": "i3", "hostPort": "10.0.0.3:4001", "lifecycle": "terminated"}]}}\n\n'
    b'data: {"no": 4}\n\n'
)
LIST_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
BULLETIN = LIST_HEAD % len(LIST_EVENTS) + LIST_EVENTS


def conversation_after(*pieces):
    """Returns a client's connection that has received these bytes."""
    conversation = invoke.Conversation()
    for piece in pieces:
        conversation.feed(piece)
    return conversation


def answers_to_clients():
    """Yields golden ids and bytes of responses for each form of a call, and of refusals."""
    for status in sorted(invoke.PHRASES):
        yield (
            f"http {status} plain",
            conversation_after(PLAIN_CALL).answer(status, b"body", 200)[0],
        )
        yield (
            f"http {status} close",
            conversation_after(PLAIN_CALL).answer(status, b"body", 200, True)[0],
        )
    yield "http empty plain", conversation_after(PLAIN_CALL).answer(200)[0]
    yield "http empty general", conversation_after(PING).answer(200)[0]
    yield "http body general", conversation_after(PING).answer(503, b"draining", 1500)[0]
    yield "http close general", conversation_after(CLOSING_CALL).answer(200, b"body")[0]
    yield "http bad", conversation_after(b"nonsense\r\n\r\n").answer(400, b"bad")[0]
    yield "http continue", conversation_after(EXPECTING_CALL[:-4]).reply
    yield "http refusal", invoke.refusal("no connection slot", 500)


def commands_to_hosts():
    """Yields golden ids and bytes of each command that is sent to a host."""
    yield "resp exec", resp.execute("a1", "draft", "0123456789abcdef", 750.9, b"\x00body")
    yield "resp exec key", resp.execute("a2", "draft", "0123456789abcdef", 0.2, b"", "key-1")
    yield "resp drop", resp.drop("a3")
    yield "resp health", resp.health("a4")
    yield "resp ensure", resp.ensure("a5", "0123456789abcdef", 2)
    yield "resp release", resp.release("0123456789abcdef")


def requests_for_the_host_list():
    """Yields golden ids and bytes of the requests that watch the endpoint list."""
    yield "sse request", sse.watch_request("bulletin:80", 0)
    yield "sse request again", sse.watch_request("bulletin:80", 41)


def lines_of_the_adapter():
    """Yields golden ids and the adapter's lines for each kind of action."""
    actions = (
        interface.StartAttempt(1, "h1", 750.5),
        interface.StartAttempt(1, "h1", 0.0),
        interface.CancelAttempt(1, 2),
        interface.RejectRequest(3, 200.5),
        interface.FailRequest(4),
        interface.SetTimer(8412.25, "token-1"),
        interface.CheckHealth("h1"),
        interface.OrderLoad("deed-00001", "h1", 2),
        interface.PollEndpoints(),
        interface.LogMessage("a line"),
    )
    for number, action in enumerate(actions):
        yield f"adapter {number}", wire.line("g0", action).encode()


def all_bytes():
    """Returns golden id -> bytes, for everything that is sent on the platform's wires."""
    found = {}
    for part in (
        answers_to_clients,
        commands_to_hosts,
        requests_for_the_host_list,
        lines_of_the_adapter,
    ):
        found.update(part())
    return found


def host_answer(word, fields):
    """Returns a host's reply as bytes."""
    frame = b"*4\r\n$2\r\na1\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$0\r\n\r\n"
    return frame % (len(word), word, len(fields), fields)
