"""Log lines and counters of what clients got: refusals, late responses, closed connections."""

from typing import TYPE_CHECKING, Any

from cherrydoor.protocol import messages as protocol

if TYPE_CHECKING:
    from cherrydoor.platform.client_connection import ClientProtocol


def refusal(service: Any, response: protocol.Response) -> None:
    """Logs the id of a request that was refused or failed, and how its attempts ended."""
    service.log.write_limited(
        "request refused" if response.outcome == "deferred" else "request failed",
        request=f"{response.id:016x}",
        reason=response.reason,
        retry_after_ms=round(response.retry_after_ms),
    )


def late_response(service: Any, response: protocol.Response, late_ms: float) -> None:
    """Counts and logs a response that is written after its client has stopped waiting.

    Args:
        service: The gateway's service.
        response: The response.
        late_ms: Time in ms since the client stopped waiting.
    """
    service.dispatcher.counters["responses after the client's time"] += 1
    service.log.write_limited(
        "response is late",
        request=f"{response.id:016x}",
        outcome=response.outcome,
        late_ms=round(late_ms, 1),
        reason=response.reason,
    )


def closing(connection: "ClientProtocol", reason: str) -> None:
    """Logs which connection admission closes, and what it has sent so far."""
    peer = connection.transport.get_extra_info("peername") or ("", 0)
    awaiting = connection.awaiting_id
    connection.listener.service.log.write_limited(
        "client connection closed",
        reason=reason,
        peer=f"{peer[0]}:{peer[1]}",
        messages=connection.messages_read,
        unhandled_bytes=connection.conversation.buffered_bytes,
        awaiting="" if awaiting is None else f"{awaiting:016x}",
    )
