"""Forwards response claims from clients to successors, and the replies back."""

from collections.abc import Callable
from typing import Any, NamedTuple

from cherrydoor.failover.response_claims import ResponseClaims
from cherrydoor.failover.successor_table import SuccessorTable
from cherrydoor.protocol.failover import ClaimResponse, ResponseUnknown
from cherrydoor.protocol.messages import Response
from cherrydoor.protocol.peers import ClaimReply, ClaimRequest

MAX_PENDING_CLAIMS = 5000  # beyond this, a claim is answered as unknown at once
REPEAT_TIMEOUT_MS = 5000.0  # how long a repeated request waits for the response of the first one

ReplyCallback = Callable[[ClaimReply | None], object]


class PendingClaim(NamedTuple):
    """A claim that was forwarded, or that waits until the successor is known."""

    request: ClaimRequest
    deadline_ms: float
    callback: ReplyCallback


class ClaimForwarder:
    """Forwards claims to the successor, and its replies back.

    Owns the table of pending claims. The callback of each pending claim is called once, with the
    successor's reply or, at the claim's deadline, with None.

    Args:
        peers: Connections to the other gateways.
        claims: Responses to the requests that this gateway has taken over.
        successors: The announced successors.
    """

    def __init__(self, peers: Any, claims: ResponseClaims, successors: SuccessorTable) -> None:
        self.peers = peers
        self.loop = peers.loop
        self.limits = peers.service.config.limits
        self.now: Callable[[], float] = peers.now
        self.claims = claims
        self.successors = successors
        self.pending: dict[int, PendingClaim] = {}
        self.last_id = 0

    def claim_for_client(self, connection: Any, message: ClaimResponse) -> None:
        """Handle a client's claim of a response that it did not get from another gateway.

        Args:
            connection: The client's connection.
            message: The claim.
        """

        def reply_to_client(reply: ClaimReply | None) -> None:
            connection.write(_client_reply(message.id, reply))

        late_ms = connection.client.excess_delay_ms(message.sent_at_ms, self.now())
        # The successor answers at the latest when the whole reserved time (`limits.spare`) is left.
        # Half of that time is for the reply's way to this gateway.
        timeout_ms = message.remaining_ms - late_ms - self.limits.spare / 2
        request = ClaimRequest(
            0, message.owner, message.incarnation, message.request_id, message.claim_key
        )
        self.claim(request, reply_to_client, timeout_ms)

    def claim(
        self, request: ClaimRequest, callback: ReplyCallback, timeout_ms: float = REPEAT_TIMEOUT_MS
    ) -> None:
        """Forward a claim to the successor as soon as one is known.

        Args:
            request: The claim; its id is set here.
            callback: Called once, with the reply, or with None if none arrives in time or too many
                claims are pending.
            timeout_ms: How long to wait for the reply.
        """
        if timeout_ms <= 0 or len(self.pending) >= MAX_PENDING_CLAIMS:
            callback(None)
            return
        self.last_id += 1
        request.id = self.last_id
        self.pending[request.id] = PendingClaim(request, self.now() + timeout_ms, callback)
        self._forward(request)

    def _forward(self, request: ClaimRequest) -> None:
        successor = self.successors.successor_of(request.owner, request.incarnation)
        if successor == self.peers.local.name:
            self.loop.call_soon(self.claim_received, successor, request)
        elif successor is not None and not self.peers.send(successor, request):
            self.peers.request_link(successor)

    def successor_known(self, owner: str, incarnation: int) -> None:
        """Forward the claims that wait for the successor of this incarnation."""
        for pending in list(self.pending.values()):
            request = pending.request
            if (request.owner, request.incarnation) == (owner, incarnation):
                self._forward(request)

    def connections_changed(self) -> None:
        """Forward all pending claims, as the connection to a successor may be up again."""
        for pending in list(self.pending.values()):
            self._forward(pending.request)

    def claim_received(self, sender: str, request: ClaimRequest) -> None:
        """Handle a claim that another gateway forwards for one of its clients."""

        def reply(response: Response) -> None:
            claim_reply = ClaimReply(
                request.id,
                True,
                response.outcome,
                response.retry_after_ms,
                response.reason,
                response.body,
            )
            self._send_reply(sender, claim_reply)

        known, response = self.claims.claim(
            request.owner,
            request.incarnation,
            request.request_id,
            request.claim_key,
            reply,
            request.key_digest,
        )
        if not known:
            reason = "it was not entrusted, or its key is another"
            self._send_reply(sender, ClaimReply(request.id, False, reason=reason))
        elif response is not None:
            reply(response)

    def _send_reply(self, to: str, reply: ClaimReply) -> None:
        if to == self.peers.local.name:
            self.loop.call_soon(self.reply_received, to, reply)
        else:
            self.peers.send(to, reply)

    def reply_received(self, sender: str, reply: ClaimReply) -> None:
        """Handle a successor's reply to a claim."""
        pending = self.pending.pop(reply.id, None)
        if pending is not None:
            pending.callback(reply)

    def expire(self, now: float) -> None:
        """End the claims that got no reply before their deadline."""
        for claim_id, pending in list(self.pending.items()):
            if pending.deadline_ms <= now:
                del self.pending[claim_id]
                pending.callback(None)


def _client_reply(message_id: int, reply: ClaimReply | None) -> Response | ResponseUnknown:
    if reply is None or not reply.known:
        reason = "nothing is known of it here"
        if reply is not None and reply.reason:
            reason = reply.reason
        return ResponseUnknown(message_id, reason)
    return Response(message_id, reply.outcome, reply.retry_after_ms, reply.reason, reply.body)
