"""What a host does for gateways whose work in hand outlives them: work goes on, is told of, and the dead are refused.

A launch belongs to the estate of the life that took its event: the one its connection's hello says, or the one that a
launch of an heir names. Ended launches are remembered for a while with their answers.
"""

from collections import deque
from typing import Any

from cherrydoor.fakes.record import now
from cherrydoor.protocol import failover as c

REMEMBERS = 6000.0  # ms for which ended launches are told of
MOST, BYTES = (
    4000,
    8 * 2**20,
)  # of them that are remembered, and of their answers; the oldest go first
LONG = 600000.0  # ms for which the number under which a life was taken over is remembered


class Past:
    """A launch that has ended, as an heir is told of it."""

    def __init__(self, job, fate, body):
        self.at, self.origin, self.number, self.launch, self.outcome, self.body = (
            now(),
            job.origin,
            job.number,
            job.launch,
            fate,
            body,
        )


class Estates:
    """Estates at one host; its jobs are the host's. `ended` is bounded by names of gateways that were lost."""

    id: str
    jobs: dict
    record: Any
    say: Any
    let_go: Any
    answer: Any

    def begin_estates(self):
        self.ended, self.past, self.past_bytes, self.numbers = {}, deque(), 0, 0
        self.passed = {}  # (gateway, life) -> the highest number under which its estate was taken over here, when

    def origin(self, end, launch):
        return (launch.owner, launch.incarnation) if launch.owner else (end.name, end.incarnation)

    def refused(self, end, launch=None):
        """Whether this comes from a life that is over, or under a number that has been passed."""
        if 0 < end.incarnation <= self.ended.get(end.name, 0):
            return True
        if launch is None or not launch.owner:
            return False
        return (
            launch.fencing_token < self.passed.get((launch.owner, launch.incarnation), (0, 0.0))[0]
        )

    def remember(self, job, fate, body):
        """Keeps what has ended, for an heir that may come; only of gateways that may have one."""
        if not job.origin[1]:
            return
        self.past.append(Past(job, fate, body))
        self.past_bytes += len(body)
        old = now() - REMEMBERS
        while self.past and (
            self.past[0].at < old or len(self.past) > MOST or self.past_bytes > BYTES
        ):
            self.past_bytes -= len(self.past.popleft().body)

    def over(self, end, message):
        """That life is over: nothing more of it is taken, and what it had here is told to its heir."""
        origin = message.owner, message.incarnation
        passed = self.passed.get(origin, (0, 0.0))[0]
        self.record.add(
            "over",
            self.id,
            end.name,
            message.id,
            number=message.fencing_token,
            text=message.owner,
            a=float(message.incarnation),
            fate="refused" if passed > message.fencing_token else "",
        )
        if passed > message.fencing_token:
            return self.say(end, c.AttemptsReport(message.id, passed))
        self.passed = {key: one for key, one in self.passed.items() if one[1] > now() - LONG}
        self.passed[origin] = message.fencing_token, now()
        self.ended[message.owner] = max(message.incarnation, self.ended.get(message.owner, 0))
        jobs = [
            c.HostAttempt(job.number, job.launch.client, job.launch.request_id, job.launch.attempt)
            for job in self.jobs.values()
            if job.origin == origin
        ]
        jobs += [
            c.HostAttempt(
                one.number,
                one.launch.client,
                one.launch.request_id,
                one.launch.attempt,
                one.outcome,
                one.body,
            )
            for one in self.past
            if one.origin == origin
        ]
        self.say(end, c.AttemptsReport(message.id, message.fencing_token, jobs))
        for other in [other for other in self.ends if self.refused(other)]:
            other.close(c.INCARNATION_ENDED)

    def count(self, end, message):
        """What is in hand here, of whomever, and how many launches ever came."""
        by = dict.fromkeys(job.origin[0] or job.end.name for job in self.jobs.values())
        by |= dict.fromkeys(one.origin[0] for one in self.past if one.at > now() - 1000.0)
        self.say(end, c.InFlightCount(message.id, len(self.jobs), self.numbers, list(by)[:8]))

    def adopt(self, end, message):
        """The job's outcome goes to the heir; it may have ended meanwhile."""
        found = next(
            ((key, job) for key, job in self.jobs.items() if job.number == message.attempt_id), None
        )
        self.record.add(
            "adopt", self.id, end.name, message.id, found[1].launch.request_id if found else 0
        )
        if found is not None:
            key, job = found
            del self.jobs[key]
            job.end, job.launch.id = end, message.id
            self.jobs[end, message.id] = job
            return
        past = next((one for one in self.past if one.number == message.attempt_id), None)
        self.tell_past(end, message.id, past)

    def tell_past(self, end, id_, past):
        from cherrydoor.protocol import messages as protocol

        if past is None:
            return self.say(end, protocol.AttemptResult(id_, "error"))
        self.say(end, protocol.AttemptResult(id_, past.outcome, 1, body=past.body))

    def recalled(self, end, message):
        """A recall by the connection that launched it, or by another one of the same life."""
        job = self.jobs.get((end, message.id))
        if job is None and end.incarnation:
            job = next(
                (
                    one
                    for one in self.jobs.values()
                    if one.launch.id == message.id
                    and one.end.name == end.name
                    and one.end.incarnation == end.incarnation
                ),
                None,
            )
        return job

    ends: Any
