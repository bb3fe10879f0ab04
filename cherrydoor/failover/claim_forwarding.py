"""Claims of responses, passed between clients, the gateways they ask, and the successors."""

from collections.abc import Callable
from typing import Any, NamedTuple

from cherrydoor.failover.response_claims import ResponseClaims
from cherrydoor.failover.successor_table import SuccessorTable
from cherrydoor.protocol.failover import ClaimResponse, ResponseUnknown
from cherrydoor.protocol.messages import Response
from cherrydoor.protocol.peers import ClaimReply, ClaimRequest

# Claims that wait for a successor; beyond it the client is told that nothing is known.
MAX_PENDING_CLAIMS = 5000
REPEAT_TIMEOUT_MS = 5000.0  # that a repeated request waits for the response of the first one

ReplyCallback = Callable[[ClaimReply | None], object]


class PendingClaim(NamedTuple):
    """A claim that this gateway has passed on, or holds until a successor is known."""

    request: ClaimRequest
    deadline_ms: float
    callback: ReplyCallback


class ClaimForwarder:
    """Brings claims to the successor, and its replies back. No request waits for any of it.

    Owns the table of pending claims: each has its callback called once, with the successor's reply
    or, at its deadline, with None.

    Args:
        peers: Connections to the other gateways.
        claims: Responses of what was taken over here.
        successors: Who is successor to whom.
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

    def claim_for_client(self, end: Any, message: ClaimResponse) -> None:
        """Handle a client's claim of the response that another gateway owed it.

        Args:
            end: The client's connection.
            message: The claim.
        """

        def reply_to_client(reply: ClaimReply | None) -> None:
            end.write(_client_reply(message.id, reply))

        late_ms = end.client.excess_delay_ms(message.sent_at_ms, self.now())
        # The successor gives its last response when all of the reserved time is left: half of that
        # is for the way here.
        timeout_ms = message.remaining_ms - late_ms - self.limits.spare / 2
        request = ClaimRequest(
            0, message.owner, message.incarnation, message.request_id, message.claim_key
        )
        self.claim(request, reply_to_client, timeout_ms)

    def claim(
        self, request: ClaimRequest, callback: ReplyCallback, timeout_ms: float = REPEAT_TIMEOUT_MS
    ) -> None:
        """Ask the successor, as soon as one is known.

        Args:
            request: The claim; its id is set here.
            callback: Called once, with the reply, or with None where none comes in time.
            timeout_ms: How long the reply is waited for.
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
            self.peers.want_link(successor)

    def successor_known(self, owner: str, incarnation: int) -> None:
        """Pass on the claims that wait for the successor of this incarnation."""
        for pending in list(self.pending.values()):
            request = pending.request
            if (request.owner, request.incarnation) == (owner, incarnation):
                self._forward(request)

    def connections_changed(self) -> None:
        """Pass on all claims that wait: the connection to a successor may be up again."""
        for pending in list(self.pending.values()):
            self._forward(pending.request)

    def claim_received(self, sender: str, request: ClaimRequest) -> None:
        """Handle a claim that another gateway passes on for one of its clients."""

        def reply(response: Response) -> None:
            found = ClaimReply(
                request.id,
                True,
                response.outcome,
                response.retry_after_ms,
                response.reason,
                response.body,
            )
            self._send_reply(sender, found)

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
        """End the claims whose time is over without a reply."""
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
