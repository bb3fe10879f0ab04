"""What a host does for requests that outlive their gateway.

Attempts go on and are reported to the successor, and the ended incarnation is refused. An attempt
belongs to the incarnation that accepted its request: the one that its connection's hello names, or
the one that a successor's attempt names. Ended attempts are remembered for a while with their
responses.
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

ENDED_RETENTION_MS = 6000.0  # for which ended attempts are reported
MAX_ENDED_ATTEMPTS = 4000  # that are remembered; the oldest go first
MAX_ENDED_BYTES = 8 * 2**20  # of their responses, likewise
FENCING_TOKEN_RETENTION_MS = 600000.0  # for which the token of a takeover is remembered
OWNER_RETENTION_MS = 1000.0  # for which the owner of an ended attempt is counted
MAX_OWNERS_REPORTED = 8


class EndedAttempt:
    """An attempt that has ended, as a successor is told of it."""

    def __init__(self, job, outcome, body):
        self.at_ms = now()
        self.origin = job.origin
        self.number = job.number
        self.launch = job.launch
        self.outcome = outcome
        self.body = body


class EndedAttempts:
    """Attempts by owner at one host; the table of running ones is the host's.

    `ended_incarnations` is bounded by the names of gateways that were lost.
    """

    id: str
    running_attempts: dict
    connections: Any
    record: Any
    send: Any
    drop_attempt: Any
    respond: Any

    def forget_ended_attempts(self):
        """Begin with nothing remembered."""
        self.ended_incarnations = {}  # gateway -> its highest incarnation that is over
        self.ended_attempts = deque()
        self.ended_bytes = 0
        self.attempts_started = 0
        # (gateway, incarnation) -> the highest fencing token of its takeover, and when that came
        self.fencing_tokens = {}

    def origin_of(self, end, launch):
        """Return owner and incarnation that an attempt belongs to."""
        return (launch.owner, launch.incarnation) if launch.owner else (end.name, end.incarnation)

    def is_refused(self, end, launch=None):
        """Return whether this is of an ended incarnation, or under a superseded fencing token."""
        if 0 < end.incarnation <= self.ended_incarnations.get(end.name, 0):
            return True
        if launch is None or not launch.owner:
            return False
        return launch.fencing_token < self._fencing_token((launch.owner, launch.incarnation))

    def _fencing_token(self, origin):
        fencing_token, _ = self.fencing_tokens.get(origin, (0, 0.0))
        return fencing_token

    def remember_ended(self, job, outcome, body):
        """Keep an ended attempt for a successor; only of gateways that may have one."""
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

    def end_incarnation(self, end, message):
        """Accept nothing more of an ended incarnation, and report its attempts to its successor."""
        origin = message.owner, message.incarnation
        highest_fencing_token = self._fencing_token(origin)
        self.record.add(
            "over",
            self.id,
            end.name,
            message.id,
            number=message.fencing_token,
            text=message.owner,
            a=float(message.incarnation),
            fate="refused" if highest_fencing_token > message.fencing_token else "",
        )
        if highest_fencing_token > message.fencing_token:
            self.send(end, AttemptsReport(message.id, highest_fencing_token))
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
        self.send(end, AttemptsReport(message.id, message.fencing_token, self._attempts_of(origin)))
        for other in [other for other in self.connections if self.is_refused(other)]:
            other.close(INCARNATION_ENDED)

    def _attempts_of(self, origin):
        running = [
            HostAttempt(job.number, job.launch.client, job.launch.request_id, job.launch.attempt)
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

    def report_in_flight(self, end, message):
        """Report how many attempts run here, of whomever, and how many ever arrived."""
        owners = dict.fromkeys(
            job.origin[0] or job.end.name for job in self.running_attempts.values()
        )
        owners |= dict.fromkeys(
            one.origin[0] for one in self.ended_attempts if one.at_ms > now() - OWNER_RETENTION_MS
        )
        self.send(
            end,
            InFlightCount(
                message.id,
                len(self.running_attempts),
                self.attempts_started,
                list(owners)[:MAX_OWNERS_REPORTED],
            ),
        )

    def adopt_attempt(self, end, message):
        """Send the attempt's outcome to the successor; it may have ended meanwhile."""
        found = next(
            (
                (key, job)
                for key, job in self.running_attempts.items()
                if job.number == message.attempt_id
            ),
            None,
        )
        self.record.add(
            "adopt", self.id, end.name, message.id, found[1].launch.request_id if found else 0
        )
        if found is not None:
            key, job = found
            del self.running_attempts[key]
            job.end, job.launch.id = end, message.id
            self.running_attempts[end, message.id] = job
            return
        ended = next((one for one in self.ended_attempts if one.number == message.attempt_id), None)
        self._report_ended(end, message.id, ended)

    def _report_ended(self, end, message_id, ended):
        if ended is None:
            self.send(end, protocol.AttemptResult(message_id, "error"))
            return
        self.send(end, protocol.AttemptResult(message_id, ended.outcome, 1, body=ended.body))

    def cancellable_attempt(self, end, message):
        """Return the attempt that a connection, or another one of its incarnation, may cancel."""
        job = self.running_attempts.get((end, message.id))
        if job is None and end.incarnation:
            job = next(
                (
                    one
                    for one in self.running_attempts.values()
                    if one.launch.id == message.id
                    and one.end.name == end.name
                    and one.end.incarnation == end.incarnation
                ),
                None,
            )
        return job
