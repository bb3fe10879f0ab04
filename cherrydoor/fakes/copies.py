"""A fake host's properties, its copies of a function, and the attempts that run on them."""

from collections import deque

from cherrydoor.fakes.record import now


class HostSpec:
    """Properties of a host, which the command "change" may change while it runs.

    Times are in ms, memory is in MB.

    Attributes:
        cores: Number of CPU cores.
        speed: Speed of one core; 1 for a standard core.
        memory: Memory for copies.
        queue: Largest number of attempts in flight; further ones are rejected.
        loads: Loads that run at a time; up to twice as many more are queued.
        keep: Idle time after which copies are unloaded.
        eager: Whether another copy is loaded when the copies cannot run all attempts in flight.
        disk: Disk space for images, which outlive a crash; 0 keeps no images.
        cold_from: Fraction of its capacity that a host has right after a cold start.
        cold: Time from a cold start to full capacity; 0 for none.
        multiple: Factor by which work may exceed the present capacity before the host crashes.
        fall: Time over which that is judged; 0 if it never crashes by overload.
        report: Interval of its load reports.
        late: Delay after which a load report takes effect.
        noise: Largest relative error of the reported attempts in flight.
        tells_held: Whether results report the attempts in flight.
        error_rate: Fraction of runs that fail.
        remember: Time for which idempotency keys are remembered.
        zone: Name of its zone.
        cell: Number of its cell in the zone.
        misses: Whether attempts are rejected with "missing", instead of loading the function, if no
            copy is loaded or loading.
        load_fail: Fraction of loads that fail.
        tells_copy: Whether results state if a copy was loaded.
        tells_crowd: Whether results report the function's concurrency.
        tells_queue: Whether results report the attempts that are queued.
        tells_tied: Whether results report the fraction of memory that cannot be freed.
    """

    def __init__(
        self,
        cores=2,
        speed=1.0,
        memory=6000.0,
        queue=24,
        loads=4,
        keep=10000.0,
        eager=True,
        disk=8000.0,
        cold_from=1.0,
        cold=0.0,
        multiple=0.0,
        fall=0.0,
        report=300.0,
        late=0.0,
        noise=0.05,
        tells_held=False,
        error_rate=0.0,
        remember=5000.0,
        zone="",
        cell=0,
        misses=False,
        load_fail=0.0,
        tells_copy=True,
        tells_crowd=True,
        tells_queue=False,
        tells_tied=False,
    ):
        self.__dict__.update({k: v for k, v in locals().items() if k != "self"})


class Copies:
    """Copies of one function on one host, and the attempts that run on them or wait for them.

    Attributes:
        facts: The function as the store describes it, a `FetchResult`; None before the first load.
        loaded: Number of copies that are loaded.
        loading: Number of copies that load or wait to load.
        running: Number of attempts that run.
        queued: Attempts that wait for a copy.
        last_used_ms: When an attempt, a load or a load order last used them.
        release: Number of the release that was loaded last.
        load_orders: (connection, load order) of the orders not yet answered.
    """

    def __init__(self, name):
        self.name, self.facts, self.loaded, self.loading, self.running = name, None, 0, 0, 0
        self.queued, self.last_used_ms, self.release, self.load_orders = deque(), 0.0, 0, []

    def in_flight(self):
        return self.running + len(self.queued)

    def idle_copies(self):
        """Returns the number of loaded copies that no running attempt needs."""
        lanes = self.facts.lanes if self.facts else 1
        return self.loaded - -(-self.running // lanes)


class RunningAttempt:
    """An attempt on a host, from its arrival to its result.

    Attributes:
        origin: Gateway that owns the request, and the incarnation in which it accepted it.
        number: The host's own id for the attempt.
        connection: Connection to which the result is sent.
        attempt: The `Attempt` message.
        copies: Copies of its function.
        copy: Value of `copy` in its result: 1 a copy was loaded, 2 it began a load, 3 it waited for
            a load.
        concurrency: Attempts for the same function on its arrival.
        serial: Its job on the cores; None while it is queued.
        ended: Whether it was answered or cancelled.
        arrived_at_ms: When it arrived, on the monotonic clock.
    """

    def __init__(self, connection, attempt, copies, origin=("", 0), number=0):
        self.origin, self.number = origin, number
        self.connection, self.attempt, self.copies, self.copy, self.concurrency = (
            connection,
            attempt,
            copies,
            1,
            0,
        )
        self.serial, self.ended, self.arrived_at_ms = None, False, now()
