"""How a fake host handles the attempts of a gateway whose incarnation has ended.

The attempts continue and are reported to the successor; the ended incarnation is refused. An
attempt belongs to the incarnation that accepted its request: the one named in the attempt message
if a successor sent it, otherwise the one in the hello of its connection. Ended attempts are
remembered with their responses for `ENDED_RETENTION_MS`.
"""

from collections import deque
from typing import Any

from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol.failover import (
    INCARNATION_ENDED,
    AttemptsReport,
    HostAttempt,
    InFlightCount,
)

ENDED_RETENTION_MS = 6000.0  # for which ended attempts are remembered
MAX_ENDED_ATTEMPTS = 4000  # above which the oldest ones are forgotten
MAX_ENDED_BYTES = 8 * 2**20  # of their responses, above which the oldest ones are forgotten
FENCING_TOKEN_RETENTION_MS = 600000.0  # for which the fencing token of a takeover is remembered
OWNER_RETENTION_MS = 1000.0  # for which the owner of an ended attempt is still reported
MAX_OWNERS_REPORTED = 8


class EndedAttempt:
    """An attempt that has ended, with what is reported to a successor."""

    def __init__(self, job, outcome, body):
        self.at_ms = now()
        self.origin = job.origin
        self.number = job.number
        self.launch = job.attempt
        self.outcome = outcome
        self.body = body


class EndedAttempts:
    """Mix-in of `Host` for attempts that outlive their gateway. `Host` sets the attributes below.

    `ended_incarnations` is not pruned: it has one entry for each name of a gateway that was lost.
    """

    id: str
    running_attempts: dict
    connections: Any
    record: Any
    send: Any
    drop_attempt: Any
    respond: Any

    def forget_ended_attempts(self):
        """Initialize the state: no attempt, incarnation or fencing token is remembered."""
        self.ended_incarnations = {}  # gateway -> its highest incarnation that has ended
        self.ended_attempts = deque()
        self.ended_bytes = 0
        self.attempts_started = 0
        # (gateway, incarnation) -> the highest fencing token of its takeover, and when it arrived
        self.fencing_tokens = {}

    def origin_of(self, connection, launch):
        """Return the owner and the incarnation that an attempt belongs to."""
        return (
            (launch.owner, launch.incarnation)
            if launch.owner
            else (connection.name, connection.incarnation)
        )

    def is_refused(self, connection, launch=None):
        """Return whether a connection or its attempt is refused.

        It is if the connection's incarnation has ended, or if the attempt's fencing token is
        superseded.
        """
        if 0 < connection.incarnation <= self.ended_incarnations.get(connection.name, 0):
            return True
        if launch is None or not launch.owner:
            return False
        return launch.fencing_token < self._fencing_token((launch.owner, launch.incarnation))

    def _fencing_token(self, origin):
        fencing_token, _ = self.fencing_tokens.get(origin, (0, 0.0))
        return fencing_token

    def remember_ended(self, job, outcome, body):
        """Remember an ended attempt for a successor, if its gateway states an incarnation."""
        if not job.origin[1]:
            return
        self.ended_attempts.append(EndedAttempt(job, outcome, body))
        self.ended_bytes += len(body)
        oldest_ms = now() - ENDED_RETENTION_MS
        while self.ended_attempts and (
            self.ended_attempts[0].at_ms < oldest_ms
            or len(self.ended_attempts) > MAX_ENDED_ATTEMPTS
            or self.ended_bytes > MAX_ENDED_BYTES
        ):
            self.ended_bytes -= len(self.ended_attempts.popleft().body)

    def end_incarnation(self, connection, message):
        """Refuse an ended incarnation from now on, and report its attempts to its successor."""
        origin = message.owner, message.incarnation
        highest_fencing_token = self._fencing_token(origin)
        self.record.add(
            "over",
            self.id,
            connection.name,
            message.id,
            number=message.fencing_token,
            text=message.owner,
            a=float(message.incarnation),
            fate="refused" if highest_fencing_token > message.fencing_token else "",
        )
        if highest_fencing_token > message.fencing_token:
            self.send(connection, AttemptsReport(message.id, highest_fencing_token))
            return
        oldest_ms = now() - FENCING_TOKEN_RETENTION_MS
        self.fencing_tokens = {
            key: (fencing_token, at_ms)
            for key, (fencing_token, at_ms) in self.fencing_tokens.items()
            if at_ms > oldest_ms
        }
        self.fencing_tokens[origin] = message.fencing_token, now()
        self.ended_incarnations[message.owner] = max(
            message.incarnation, self.ended_incarnations.get(message.owner, 0)
        )
        self.send(
            connection, AttemptsReport(message.id, message.fencing_token, self._attempts_of(origin))
        )
        for other in [other for other in self.connections if self.is_refused(other)]:
            other.close(INCARNATION_ENDED)

    def _attempts_of(self, origin):
        running = [
            HostAttempt(job.number, job.attempt.client, job.attempt.request_id, job.attempt.attempt)
            for job in self.running_attempts.values()
            if job.origin == origin
        ]
        ended = [
            HostAttempt(
                one.number,
                one.launch.client,
                one.launch.request_id,
                one.launch.attempt,
                one.outcome,
                one.body,
            )
            for one in self.ended_attempts
            if one.origin == origin
        ]
        return running + ended

    def report_in_flight(self, connection, message):
        """Report the attempts in flight from all gateways, and how many have ever arrived."""
        owners = dict.fromkeys(
            job.origin[0] or job.connection.name for job in self.running_attempts.values()
        )
        owners |= dict.fromkeys(
            one.origin[0] for one in self.ended_attempts if one.at_ms > now() - OWNER_RETENTION_MS
        )
        self.send(
            connection,
            InFlightCount(
                message.id,
                len(self.running_attempts),
                self.attempts_started,
                list(owners)[:MAX_OWNERS_REPORTED],
            ),
        )

    def adopt_attempt(self, connection, message):
        """Redirect an attempt's outcome to the successor; send it at once if it has ended."""
        found = next(
            (
                (key, job)
                for key, job in self.running_attempts.items()
                if job.number == message.attempt_id
            ),
            None,
        )
        self.record.add(
            "adopt",
            self.id,
            connection.name,
            message.id,
            found[1].attempt.request_id if found else 0,
        )
        if found is not None:
            key, job = found
            del self.running_attempts[key]
            job.connection, job.attempt.id = connection, message.id
            self.running_attempts[connection, message.id] = job
            return
        ended = next((one for one in self.ended_attempts if one.number == message.attempt_id), None)
        self._report_ended(connection, message.id, ended)

    def _report_ended(self, connection, message_id, ended):
        if ended is None:
            self.send(connection, protocol.AttemptResult(message_id, "error"))
            return
        self.send(connection, protocol.AttemptResult(message_id, ended.outcome, 1, body=ended.body))

    def cancellable_attempt(self, connection, message):
        """Return the attempt to cancel, or None.

        It may have been sent on another connection of the same gateway and incarnation.
        """
        job = self.running_attempts.get((connection, message.id))
        if job is None and connection.incarnation:
            job = next(
                (
                    one
                    for one in self.running_attempts.values()
                    if one.attempt.id == message.id
                    and one.connection.name == connection.name
                    and one.connection.incarnation == connection.incarnation
                ),
                None,
            )
        return job
