"""The bytes that a client sends."""

EXTRAS = "memory_mb:512;lanes:4;load_ms:200"
FUNCTION = "7f3a9c21e0b4d655"
PROBE = b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"


def call(
    number,
    function=FUNCTION,
    request_class="draft",
    tenant="acme",
    timeout_ms="2000",
    extras=EXTRAS,
    body=b"",
    extra_headers=(),
):
    lines = [
        f"POST /call/{function}/sync HTTP/1.1",
        "Host: backend.local",
        f"X-Class: {request_class}",
        f"X-Call-Id: {number}",
        f"X-Patience-Ms: {timeout_ms}",
        f"X-Customer: {tenant}",
        f"X-Extras: {extras}",
        f"Content-Length: {len(body)}",
        *extra_headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
