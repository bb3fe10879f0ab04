"""What a host of ours does for work that outlives its gateway, message by message."""

from fleet_and_hosts import Rows

from cherrydoor.fakes.estates import Estates
from cherrydoor.protocol import failover as c
from cherrydoor.protocol import messages as protocol


class End:
    def __init__(self, name, incarnation):
        self.name, self.incarnation, self.closed = name, incarnation, ""

    def close(self, why=""):
        self.closed = why


class Job:
    def __init__(self, end, launch, number, origin):
        self.end, self.launch, self.number, self.origin, self.serial = (
            end,
            launch,
            number,
            origin,
            1,
        )


class Host(Estates):
    def __init__(self):
        self.id, self.record, self.jobs, self.ends, self.told = "h", Rows(), {}, {}, []
        self.begin_estates()

    def say(self, end, message):
        self.told.append((end.name, message))

    def work(self, end, event):
        launch = protocol.Attempt(event, event, "c", "file", "f", 1000.0)
        self.numbers += 1
        self.ends[end] = None
        self.jobs[end, launch.id] = Job(end, launch, self.numbers, self.origin(end, launch))
        return self.jobs[end, launch.id]

    def over(self, name, incarnation, number, heir="heir"):
        super().over(End(heir, 1), c.EndIncarnation(1, name, incarnation, number))
        return self.told[-1][1]


def test_lives_may_be_declared_over_in_any_order_each_under_its_own_number():
    """A later life was over first: the earlier one's heir was told of nothing, and ran again what had run."""
    host = Host()
    host.work(End("g", 5), 1)
    host.work(End("g", 6), 2)
    assert [attempt.request_id for attempt in host.over("g", 6, 1).attempts] == [2]
    holds = host.over("g", 5, 1)
    assert [attempt.request_id for attempt in holds.attempts] == [
        1
    ] and holds.highest_fencing_token == 1


def test_a_lower_number_for_the_same_life_is_refused_and_the_same_one_answered_again():
    host = Host()
    host.work(End("g", 5), 1)
    host.over("g", 5, 4)
    assert host.over("g", 5, 3).highest_fencing_token == 4 and not host.over("g", 5, 3).attempts
    assert [attempt.request_id for attempt in host.over("g", 5, 4).attempts] == [1]


def test_connections_and_launches_of_a_life_that_is_over_are_refused_and_later_ones_are_not():
    host, old, new = Host(), End("g", 5), End("g", 6)
    host.work(old, 1)
    host.work(new, 2)
    host.over("g", 5, 1)
    assert old.closed == c.INCARNATION_ENDED and not new.closed
    assert host.refused(End("g", 4)) and host.refused(End("g", 5)) and not host.refused(End("g", 6))


def test_a_launch_for_another_gateway_needs_the_number_that_stands():
    host = Host()
    host.over("g", 5, 2)

    def launch(under):
        return protocol.Attempt(
            1, 1, "c", "file", "f", 9.0, owner="g", incarnation=5, fencing_token=under
        )

    assert host.refused(End("heir", 1), launch(1)) and not host.refused(End("heir", 1), launch(2))


def test_what_has_ended_is_told_with_its_answer_and_a_job_is_adopted_by_number():
    host, end = Host(), End("g", 5)
    job = host.work(end, 1)
    host.remember(host.work(end, 2), "handled", b"x")
    del host.jobs[end, 2]
    told = {one.request_id: (one.outcome, one.body) for one in host.over("g", 5, 1).attempts}
    assert told == {1: ("", b""), 2: ("handled", b"x")}
    heir = End("heir", 1)
    host.adopt(heir, c.AdoptAttempt(77, job.number))
    assert host.jobs[heir, 77] is job and job.end is heir
