"""How a host handles attempts of a gateway whose incarnation has ended."""

from fleet_and_hosts import RecordedRows

from cherrydoor.fakes.ended_attempts import EndedAttempts
from cherrydoor.protocol import failover
from cherrydoor.protocol import messages as protocol


class Connection:
    def __init__(self, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.closed = ""

    def close(self, reason=""):
        self.closed = reason


class RunningJob:
    def __init__(self, connection, attempt, number, origin):
        self.connection = connection
        self.attempt = attempt
        self.number = number
        self.origin = origin
        self.serial = 1


class HostUnderTest(EndedAttempts):
    def __init__(self):
        self.id = "h"
        self.record = RecordedRows()
        self.running_attempts = {}
        self.connections = {}
        self.sent = []
        self.forget_ended_attempts()

    def send(self, connection, message):
        self.sent.append((connection.name, message))

    def start(self, connection, request_id):
        launch = protocol.Attempt(request_id, request_id, "c", "file", "f", 1000.0)
        self.attempts_started += 1
        self.connections[connection] = None
        self.running_attempts[connection, launch.id] = RunningJob(
            connection, launch, self.attempts_started, self.origin_of(connection, launch)
        )
        return self.running_attempts[connection, launch.id]

    def end_incarnation(self, name, incarnation, fencing_token, successor="successor"):
        super().end_incarnation(
            Connection(successor, 1), failover.EndIncarnation(1, name, incarnation, fencing_token)
        )
        return self.sent[-1][1]


def test_incarnations_can_be_ended_in_any_order_each_under_its_own_fencing_token():
    """If the later incarnation was ended first, the host reported no attempts to the successor of
    the earlier one, which then ran finished requests again."""
    host = HostUnderTest()
    host.start(Connection("g", 5), 1)
    host.start(Connection("g", 6), 2)
    assert [attempt.request_id for attempt in host.end_incarnation("g", 6, 1).attempts] == [2]
    report = host.end_incarnation("g", 5, 1)
    assert [attempt.request_id for attempt in report.attempts] == [1]
    assert report.highest_fencing_token == 1


def test_a_lower_fencing_token_for_an_incarnation_is_refused_and_the_same_token_reported_again():
    host = HostUnderTest()
    host.start(Connection("g", 5), 1)
    host.end_incarnation("g", 5, 4)
    assert (
        host.end_incarnation("g", 5, 3).highest_fencing_token == 4
        and not host.end_incarnation("g", 5, 3).attempts
    )
    assert [attempt.request_id for attempt in host.end_incarnation("g", 5, 4).attempts] == [1]


def test_an_ended_incarnation_is_refused_and_a_later_one_is_not():
    host, old, new = HostUnderTest(), Connection("g", 5), Connection("g", 6)
    host.start(old, 1)
    host.start(new, 2)
    host.end_incarnation("g", 5, 1)
    assert old.closed == failover.INCARNATION_ENDED and not new.closed
    assert host.is_refused(Connection("g", 4))
    assert host.is_refused(Connection("g", 5))
    assert not host.is_refused(Connection("g", 6))


def test_an_attempt_for_another_gateway_needs_the_current_fencing_token():
    host = HostUnderTest()
    host.end_incarnation("g", 5, 2)

    def attempt(fencing_token):
        return protocol.Attempt(
            1, 1, "c", "file", "f", 9.0, owner="g", incarnation=5, fencing_token=fencing_token
        )

    assert host.is_refused(Connection("successor", 1), attempt(1))
    assert not host.is_refused(Connection("successor", 1), attempt(2))


def test_an_ended_attempt_is_reported_with_its_response_and_a_running_one_is_adopted():
    host, connection = HostUnderTest(), Connection("g", 5)
    job = host.start(connection, 1)
    host.remember_ended(host.start(connection, 2), "handled", b"x")
    del host.running_attempts[connection, 2]
    reported = {
        attempt.request_id: (attempt.outcome, attempt.body)
        for attempt in host.end_incarnation("g", 5, 1).attempts
    }
    assert reported == {1: ("", b""), 2: ("handled", b"x")}
    successor = Connection("successor", 1)
    host.adopt_attempt(successor, failover.AdoptAttempt(77, job.number))
    assert host.running_attempts[successor, 77] is job and job.connection is successor
