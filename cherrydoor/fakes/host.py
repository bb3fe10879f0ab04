"""A fake host: loads functions from the store on demand, and runs attempts on shared CPU cores.

Its load reports are delayed and inexact. A `HostPool` holds many hosts in one process, each on its
own port; faults are injected by commands. A host records each attempt on its arrival, each effect
when it happens and each result when it is sent.
"""

from collections import deque
from math import log
from zlib import crc32

from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.fakes.capacity import Capacity
from cherrydoor.fakes.copies import Copies, RunningAttempt
from cherrydoor.fakes.cores import Cores
from cherrydoor.fakes.ended_attempts import EndedAttempts
from cherrydoor.fakes.loads import Loads
from cherrydoor.fakes.record import now, wall
from cherrydoor.protocol import failover
from cherrydoor.protocol import messages as protocol


class Host(Loads, Capacity, EndedAttempts):
    """One host on one port.

    Attributes:
        bind: Address to listen on if it is not `id`, because a proxy listens on `id`; else "".
        host_pool: What the hosts of this process share.
        id: Its address, by which gateways know it.
        spec: Its `HostSpec`.
        seed: Seed of its random values.
        draw_count: Number of random values drawn so far.
        connections: Connections whose hello was accepted.
        up: Whether its process runs.
        draining: Whether it rejects new attempts.
        images: Functions whose image is on its disk, as `FetchResult` by name; kept over a crash.
        silenced: Whether it sends no messages.
        refusing: Whether it aborts new connections.
        slowdown: Factor by which its work is slowed down.
        unanswered_share: Fraction of its attempts that run but are not answered.
        unanswered_shares_by_class: The same by request class; the larger one applies.
        pause_cycle: (length, interval) in ms of its repeated pauses; None for none.
        cold_start_ms: Time of its cold start on the monotonic clock; 0 if it started warm.
        version_counts: Runs, errors and slow runs since its start, by version of a function.
        started_at_ms: Time of its cold start in ms since 1970; 0 if it started warm.
        functions: `Copies` by function.
        running_attempts: Attempts in flight, by (connection, id of the attempt).
        active_loads: (copies, start time) of the loads that run.
        load_queue: Copies whose load waits until fewer loads run.
    """

    def __init__(self, host_pool, name, spec, seed, bind=""):
        self.bind = bind
        self.host_pool, self.id, self.spec, self.seed, self.draw_count = (
            host_pool,
            name,
            spec,
            seed,
            0,
        )
        self.record, self.loop, self.server, self.connections = (
            host_pool.record,
            host_pool.loop,
            None,
            OrderedSet(),
        )
        self.up, self.draining, self.images = False, False, {}
        self.silenced = self.refusing = False
        self.slowdown, self.unanswered_share, self.pause_cycle, self.paused_until_ms = (
            1.0,
            0.0,
            None,
            0.0,
        )
        self.unanswered_shares_by_class = {}
        self.timer = None

    def random_fraction(self):
        """Returns a pseudo-random number in [0, 1)."""
        self.draw_count += 1
        return crc32(f"{self.seed}/{self.draw_count}".encode()) / 2.0**32

    # ---- start and crash
    async def start(self, port=0, cold=True):
        """Listens, and starts as a new process; returns the host's id."""
        host, _, given_port = (self.bind or self.id).rpartition(":")
        self.server = await self.loop.create_server(
            lambda: FramedConnection(self, failover.TO_HOST, self.hello),
            host or "127.0.0.1",
            port or int(given_port or 0),
            backlog=1024,
            reuse_address=True,
        )
        self.bind = self.bind and f"{host}:{self.server.sockets[0].getsockname()[1]}"
        self.id = (
            self.id
            if self.bind
            else f"{host or '127.0.0.1'}:{self.server.sockets[0].getsockname()[1]}"
        )
        self.reset_state(cold)
        return self.id

    def reset_state(self, cold):
        """Sets the state of a process that has just started: no copies, and cold if asked."""
        self.up, self.draining, self.cold_start_ms = True, False, now() if cold else 0.0
        self.version_counts = {}
        self.started_at_ms = wall() if cold else 0.0
        self.cores, self.functions, self.running_attempts = Cores(self.spec.cores, now()), {}, {}
        self.active_loads, self.load_queue, self.load_reports, self.recent_work = (
            set(),
            deque(),
            deque(),
            deque(),
        )
        self.crashed_by_overload = False
        self.forget_ended_attempts()
        if not self.spec.disk:
            self.images = {}
        spec = self.spec
        self.record.add(
            "host up",
            self.id,
            a=spec.cores * spec.speed,
            b=self.cold_start_ms,
            text=f"{spec.zone}/{spec.cell}",
            number=int(cold),
        )
        self.reschedule()

    def hello(self):
        return protocol.Hello(protocol.VERSION, "host", self.id, now(), self.started_at_ms)

    def kill(self, why="crash"):
        """Crashes the process: resets connections and loses all state but the images on disk."""
        self.up = False
        if self.timer:
            self.timer.cancel()
        if self.server:
            self.server.close()
        self.record.add("host down", self.id, text=why)
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()

    # ---- connections
    def hello_received(self, connection, hello):
        if self.refusing or not self.up:
            return connection.abort()
        connection.name, connection.incarnation = hello.name, hello.incarnation
        if self.is_refused(connection):
            return connection.close(failover.INCARNATION_ENDED)
        self.connections.add(connection)

    def connection_ended(self, connection):
        self.connections.discard(connection)
        if getattr(connection, "incarnation", 0):
            # The attempts continue, because the gateway may be lost and have a successor.
            return
        for job in (
            [j for j in self.running_attempts.values() if j.connection is connection]
            if self.up
            else ()
        ):
            self.record.add(
                "cut",
                self.id,
                connection.name,
                job.attempt.id,
                job.attempt.request_id,
                job.attempt.attempt,
            )
            self.drop_attempt(job)

    def message_received(self, connection, message):
        if not self.up:
            return
        kind = type(message)
        if kind is protocol.Attempt:
            self.attempt_received(connection, message)
        elif kind is protocol.CancelAttempt:
            job = self.cancellable_attempt(connection, message)
            self.record.add(
                "recall", self.id, connection.name, message.id, job.attempt.request_id if job else 0
            )
            if job:
                self.drop_attempt(job)
        elif kind is protocol.HealthCheck:
            self.record.add("probe", self.id, connection.name, message.id)
            self.cores.add(
                now(),
                self.core_speed(),
                0.3,
                lambda: self.send(
                    connection,
                    protocol.HealthCheckResult(message.id, "handled", self.reported_in_flight()),
                ),
            )
            self.reschedule()
        elif kind is protocol.LoadOrder:
            self.load_order_received(connection, message)
        elif kind is failover.EndIncarnation:
            self.end_incarnation(connection, message)
        elif kind is failover.AdoptAttempt:
            self.adopt_attempt(connection, message)
        elif kind is failover.CountInFlight:
            self.report_in_flight(connection, message)
        elif kind is protocol.Unload:
            copies = self.functions.get(message.function)
            if copies:
                copies.loaded -= max(0, copies.idle_copies())
            self.send(connection, protocol.UnloadResult(message.id, copies.loaded if copies else 0))

    def send(self, connection, message):
        if self.silenced or not self.up:
            return
        if self.paused_until_ms > now():
            self.loop.call_later(
                (self.paused_until_ms - now()) / 1000, self.send, connection, message
            )
            return
        connection.write(message)

    # ---- attempts
    def attempt_received(self, connection, launch):
        """Runs an attempt, queues it for a copy, or rejects it."""
        if self.is_refused(connection, launch):
            self.record.add(
                "refused", self.id, connection.name, launch.id, launch.request_id, launch.attempt
            )
            return self.send(connection, protocol.AttemptResult(launch.id, "full"))
        # Overload is judged, here and by rule 4 of the audit, by the mean work of the function.
        mean_ms = self.host_pool.mean_work(launch.function)
        self.record.add(
            "launch",
            self.id,
            connection.name,
            launch.id,
            launch.request_id,
            launch.attempt,
            launch.function,
            launch.request_class,
            launch.client,
            launch.idempotency_key,
            a=launch.timeout_ms,
            b=mean_ms,
            c=float(launch.fencing_token),
            text=str(connection.incarnation) if connection.incarnation else "",
        )
        if self.is_overloaded_by(mean_ms):
            return
        copies = self.functions.get(launch.function) or Copies(launch.function)
        self.functions[launch.function] = copies
        self.attempts_started += 1
        job = RunningAttempt(
            connection, launch, copies, self.origin_of(connection, launch), self.attempts_started
        )
        job.concurrency = min(30, copies.in_flight())
        if (
            self.draining
            or len(self.running_attempts) >= self.spec.queue
            or self.spec.misses
            and not (copies.loaded or copies.loading)
        ):
            self.respond(job, "missing" if self.spec.misses and not self.draining else "full")
            return self.discard_if_unused(copies)
        self.running_attempts[connection, launch.id] = job
        copies.queued.append(job)
        copies.last_used_ms = now()
        if not copies.loaded:
            job.copy = 3 if copies.loading else 2
            if not copies.loading and not self.begin_load(copies):
                copies.queued.remove(job)
                del self.running_attempts[connection, launch.id]
                self.respond(job, "full")
                return self.discard_if_unused(copies)
        elif (
            self.spec.eager
            and copies.in_flight() > (copies.loaded + copies.loading) * copies.facts.lanes
            and not copies.loading
        ):
            self.begin_load(copies)
        self.run_queued(copies)

    def run_queued(self, copies):
        """Starts queued attempts while there is a copy for them."""
        while (
            copies.queued and copies.loaded and copies.running < copies.loaded * copies.facts.lanes
        ):
            job = copies.queued.popleft()
            copies.running += 1
            faults = self.host_pool.faulty_versions.get(job.attempt.function, {})
            work_ms = self.draw_work_ms(copies.facts.work) * faults.get("slow", 1.0)
            if self.random_fraction() < faults.get("crash", 0.0):
                self.loop.call_soon(self.kill, "crashed by a version")
                self.loop.call_later(2.0, self.restart_after_crash)
            if not self.host_pool.is_new(self, job.attempt):
                # A repeat whose idempotency key is remembered is answered without an effect.
                work_ms = 0.1
            job.serial = self.cores.add(
                now(), self.core_speed(), work_ms, lambda job=job: self.attempt_finished(job)
            )
        self.reschedule()

    def attempt_finished(self, job):
        """Records the effect of an attempt that has run, and answers it unless a fault forbids."""
        copies = job.copies
        copies.running -= 1
        copies.last_used_ms = now()
        self.running_attempts.pop((job.connection, job.attempt.id), None)
        launch = job.attempt
        if self.host_pool.record_effect(self, launch):
            self.record.add(
                "effect",
                self.id,
                job.connection.name,
                launch.id,
                launch.request_id,
                launch.attempt,
                launch.function,
                launch.request_class,
                launch.client,
                launch.idempotency_key,
            )
        faults = self.host_pool.faulty_versions.get(launch.function, {})
        fails = (
            self.random_fraction() < self.spec.error_rate
            or launch.function in self.host_pool.failing_functions
            or self.random_fraction() < faults.get("fail", 0.0)
        )
        unanswered_share = max(
            self.unanswered_share, self.unanswered_shares_by_class.get(launch.request_class, 0.0)
        )
        if unanswered_share and self.random_fraction() < unanswered_share:
            self.remember_ended(
                job, "error" if fails else "handled", b"x" * min(len(launch.body), 4 * 2**20)
            )
            self.record.add(
                "answer lost",
                self.id,
                job.connection.name,
                launch.id,
                launch.request_id,
                launch.attempt,
            )
        else:
            self.respond(job, "error" if fails else "handled")
        self.run_queued(copies)

    def respond(self, job, outcome, copy=None):
        """Sends the result of an attempt; `copy` overrides what it states of the copy."""
        job.ended, launch = True, job.attempt
        copy = job.copy if copy is None else copy
        body = b"x" * min(len(launch.body), 4 * 2**20) if outcome == "handled" else b""
        self.remember_ended(job, outcome, body)
        if not self.silenced:
            self.record.add(
                "outcome",
                self.id,
                job.connection.name,
                launch.id,
                launch.request_id,
                launch.attempt,
                launch.function,
                fate=outcome,
                a=copy,
                b=job.concurrency,
            )
        else:
            self.record.add(
                "answer lost",
                self.id,
                job.connection.name,
                launch.id,
                launch.request_id,
                launch.attempt,
            )
        in_flight = self.reported_in_flight() if self.spec.tells_held else None
        version_counts = None
        if outcome == "handled" or outcome == "error" and copy != 4:
            counts = self.version_counts.setdefault(launch.function, [0, 0, 0])
            counts[0] += 1
            counts[1] += outcome == "error"
            counts[2] += bool(
                outcome == "handled"
                and copy == 1
                and launch.slow_after_ms
                and now() - job.arrived_at_ms > launch.slow_after_ms
            )
            version_counts = tuple(counts)
        spec, reports_copy = self.spec, outcome == "handled" and self.spec.tells_copy or copy == 4
        self.send(
            job.connection,
            protocol.AttemptResult(
                launch.id,
                outcome,
                copy if reports_copy else 0,
                job.concurrency if spec.tells_crowd else 0,
                in_flight,
                body,
                version_counts,
                self.queued_attempts() if spec.tells_queue else None,
                self.unevictable_memory() if spec.tells_tied else None,
            ),
        )

    def restart_after_crash(self):
        """Restarts after a faulty version crashed the host.

        The endpoint list is not informed: gateways learn of the restart from the host's hello.
        """
        if not self.up:
            self.loop.create_task(self.start(cold=True))

    def drop_attempt(self, job):
        """Cancels an attempt that its gateway no longer waits for; a load in progress continues."""
        self.running_attempts.pop((job.connection, job.attempt.id), None)
        job.ended, copies = True, job.copies
        if job.serial is not None:
            self.cores.drop(now(), self.core_speed(), job.serial)
            copies.running -= 1
            self.run_queued(copies)
        elif job in copies.queued:
            copies.queued.remove(job)

    def draw_work_ms(self, mean_ms):
        """Returns the work of one run in ms, exponentially distributed."""
        return -mean_ms * log(max(1e-6, 1 - self.random_fraction()))
