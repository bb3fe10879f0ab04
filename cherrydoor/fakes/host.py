"""A host: loads functions from the store on demand, runs events on shared cores, tells late and noisily what it holds.

One HostPool serves many hosts in one process, each on a port of its own; troubles come as commands. What a host does it
records: each launch as it came, each effect as it happened, each answer as it went.
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
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol


class Host(Loads, Capacity, EndedAttempts):
    """One host on one port. `up` is False while its process is dead."""

    def __init__(self, host_pool, name, spec, seed, bind=""):
        """bind: where it listens, if that is not its name: something stands between."""
        self.bind = bind
        self.host_pool, self.id, self.spec, self.seed, self.drawn = host_pool, name, spec, seed, 0
        self.record, self.loop, self.server, self.connections = (
            host_pool.record,
            host_pool.loop,
            None,
            OrderedSet(),
        )
        self.up, self.draining, self.images = False, False, {}
        self.silenced = self.refuse = False
        self.slow, self.lose, self.pause, self.paused_until = 1.0, 0.0, None, 0.0
        self.unanswered_shares = {}  # event type -> share of its events that are left unanswered
        self.alarm = None

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    # ---- life
    async def start(self, port=0, cold=True):
        host, _, given = (self.bind or self.id).rpartition(":")
        self.server = await self.loop.create_server(
            lambda: FramedConnection(self, custody.TO_HOST, self.hello),
            host or "127.0.0.1",
            port or int(given or 0),
            backlog=1024,
            reuse_address=True,
        )
        self.bind = self.bind and f"{host}:{self.server.sockets[0].getsockname()[1]}"
        self.id = (
            self.id
            if self.bind
            else f"{host or '127.0.0.1'}:{self.server.sockets[0].getsockname()[1]}"
        )
        self.begin(cold)
        return self.id

    def begin(self, cold):
        """A process that has just started: empty, and cold where it is told to be."""
        self.up, self.draining, self.started = True, False, now() if cold else 0.0
        self.tallies = {}  # version -> events, errors, slow since the start
        self.since = wall() if cold else 0.0
        self.cores, self.functions, self.running_attempts = Cores(self.spec.cores, now()), {}, {}
        self.loads, self.load_queue, self.reports, self.work = set(), deque(), deque(), deque()
        self.fell = False
        self.forget_ended_attempts()
        if not self.spec.disk:
            self.images = {}
        b = self.spec
        self.record.add(
            "host up",
            self.id,
            a=b.cores * b.speed,
            b=self.started,
            text=f"{b.zone}/{b.cell}",
            number=int(cold),
        )
        self.reschedule()

    def hello(self):
        return protocol.Hello(protocol.VERSION, "host", self.id, now(), self.since)

    def kill(self, why="crash"):
        """The process dies: connections are reset, all it held is lost, images on disk stay."""
        self.up = False
        if self.alarm:
            self.alarm.cancel()
        if self.server:
            self.server.close()
        self.record.add("host down", self.id, text=why)
        for end in list(self.connections):
            end.abort()
        self.connections.clear()

    # ---- connections
    def hello_received(self, end, hello):
        if self.refuse or not self.up:
            return end.abort()
        end.name, end.incarnation = hello.name, hello.incarnation
        if self.is_refused(end):
            return end.close(custody.INCARNATION_ENDED)
        self.connections.add(end)

    def connection_ended(self, end):
        self.connections.discard(end)
        if getattr(
            end, "incarnation", 0
        ):  # its work goes on: the gateway may be lost, and have an heir
            return
        for job in [j for j in self.running_attempts.values() if j.end is end] if self.up else ():
            self.record.add(
                "cut", self.id, end.name, job.launch.id, job.launch.request_id, job.launch.attempt
            )
            self.drop_attempt(job)

    def message_received(self, end, message):
        if not self.up:
            return
        kind = type(message)
        if kind is protocol.Attempt:
            self.launched(end, message)
        elif kind is protocol.CancelAttempt:
            job = self.cancellable_attempt(end, message)
            self.record.add(
                "recall", self.id, end.name, message.id, job.launch.request_id if job else 0
            )
            if job:
                self.drop_attempt(job)
        elif kind is protocol.HealthCheck:
            self.record.add("probe", self.id, end.name, message.id)
            self.cores.add(
                now(),
                self.speed(),
                0.3,
                lambda: self.send(
                    end,
                    protocol.HealthCheckResult(message.id, "handled", self.reported_in_flight()),
                ),
            )
            self.reschedule()
        elif kind is protocol.LoadOrder:
            self.ordered(end, message)
        elif kind is custody.EndIncarnation:
            self.end_incarnation(end, message)
        elif kind is custody.AdoptAttempt:
            self.adopt_attempt(end, message)
        elif kind is custody.CountInFlight:
            self.report_in_flight(end, message)
        elif kind is protocol.Unload:
            copies = self.functions.get(message.function)
            if copies:
                copies.standing -= max(0, copies.idle())
            self.send(end, protocol.UnloadResult(message.id, copies.standing if copies else 0))

    def send(self, end, message):
        if self.silenced or not self.up:
            return
        if self.paused_until > now():
            self.loop.call_later((self.paused_until - now()) / 1000, self.send, end, message)
            return
        end.write(message)

    # ---- events
    def launched(self, end, launch):
        # the work that an event is taken to be, for rule 4: the mean of its function
        if self.is_refused(end, launch):
            self.record.add(
                "refused", self.id, end.name, launch.id, launch.request_id, launch.attempt
            )
            return self.send(end, protocol.AttemptResult(launch.id, "full"))
        mean = self.host_pool.mean_work(launch.function)
        self.record.add(
            "launch",
            self.id,
            end.name,
            launch.id,
            launch.request_id,
            launch.attempt,
            launch.function,
            launch.request_class,
            launch.client,
            launch.idempotency_key,
            a=launch.timeout_ms,
            b=mean,
            c=float(launch.fencing_token),
            text=str(end.incarnation) if end.incarnation else "",
        )
        if self.is_overloaded_by(mean):
            return
        copies = self.functions.get(launch.function) or Copies(launch.function)
        self.functions[launch.function] = copies
        self.attempts_started += 1
        job = RunningAttempt(
            end, launch, copies, self.origin_of(end, launch), self.attempts_started
        )
        job.concurrent = min(30, copies.held())
        if (
            self.draining
            or len(self.running_attempts) >= self.spec.queue
            or self.spec.misses
            and not (copies.standing or copies.loading)
        ):
            self.respond(job, "missing" if self.spec.misses and not self.draining else "full")
            return self.discard_if_unused(copies)
        self.running_attempts[end, launch.id] = job
        copies.waiting.append(job)
        copies.used = now()
        if not copies.standing:
            job.copy = 3 if copies.loading else 2
            if not copies.loading and not self.begin_load(copies):
                copies.waiting.remove(job)
                del self.running_attempts[end, launch.id]
                self.respond(job, "full")
                return self.discard_if_unused(copies)
        elif (
            self.spec.eager
            and copies.held() > (copies.standing + copies.loading) * copies.facts.lanes
            and not copies.loading
        ):
            self.begin_load(copies)
        self.run_waiting(copies)

    def run_waiting(self, copies):
        while (
            copies.waiting
            and copies.standing
            and copies.running < copies.standing * copies.facts.lanes
        ):
            job = copies.waiting.popleft()
            copies.running += 1
            # an effect is one by its mark: a repeat that is remembered answers without one
            bad = self.host_pool.faulty_versions.get(job.launch.function, {})
            work = self.draw(copies.facts.work) * bad.get("slow", 1.0)
            if self.chance() < bad.get("crash", 0.0):
                self.loop.call_soon(self.kill, "crashed by a version")
                self.loop.call_later(2.0, self.rise)
            if not self.host_pool.is_new(self, job.launch):
                work = 0.1
            job.serial = self.cores.add(
                now(), self.speed(), work, lambda job=job: self.finished(job)
            )
        self.reschedule()

    def finished(self, job):
        copies = job.copies
        copies.running -= 1
        copies.used = now()
        self.running_attempts.pop((job.end, job.launch.id), None)
        launch = job.launch
        if self.host_pool.record_effect(self, launch):
            self.record.add(
                "effect",
                self.id,
                job.end.name,
                launch.id,
                launch.request_id,
                launch.attempt,
                launch.function,
                launch.request_class,
                launch.client,
                launch.idempotency_key,
            )
        bad = self.host_pool.faulty_versions.get(launch.function, {})
        fails = (
            self.chance() < self.spec.error_rate
            or launch.function in self.host_pool.failing_functions
            or self.chance() < bad.get("fail", 0.0)
        )
        lose = max(self.lose, self.unanswered_shares.get(launch.request_class, 0.0))
        if lose and self.chance() < lose:
            self.remember_ended(
                job, "error" if fails else "handled", b"x" * min(len(launch.body), 4 * 2**20)
            )
            self.record.add(
                "answer lost", self.id, job.end.name, launch.id, launch.request_id, launch.attempt
            )
        else:
            self.respond(job, "error" if fails else "handled")
        self.run_waiting(copies)

    def respond(self, job, fate, copy=None):
        job.ended, launch = True, job.launch
        copy = job.copy if copy is None else copy
        body = b"x" * min(len(launch.body), 4 * 2**20) if fate == "handled" else b""
        self.remember_ended(job, fate, body)
        if not self.silenced:
            self.record.add(
                "outcome",
                self.id,
                job.end.name,
                launch.id,
                launch.request_id,
                launch.attempt,
                launch.function,
                fate=fate,
                a=copy,
                b=job.concurrent,
            )
        else:
            self.record.add(
                "answer lost", self.id, job.end.name, launch.id, launch.request_id, launch.attempt
            )
        held = self.reported_in_flight() if self.spec.tells_held else None
        tally = None
        if fate == "handled" or fate == "error" and copy != 4:
            told = self.tallies.setdefault(launch.function, [0, 0, 0])
            told[0] += 1
            told[1] += fate == "error"
            told[2] += bool(
                fate == "handled"
                and copy == 1
                and launch.slow_after_ms
                and now() - job.at > launch.slow_after_ms
            )
            tally = tuple(told)
        b, tells = self.spec, fate == "handled" and self.spec.tells_copy or copy == 4
        self.send(
            job.end,
            protocol.AttemptResult(
                launch.id,
                fate,
                copy if tells else 0,
                job.concurrent if b.tells_crowd else 0,
                held,
                body,
                tally,
                self.waiting() if b.tells_queue else None,
                self.tied() if b.tells_tied else None,
            ),
        )

    def rise(self):
        """Up again by itself after a version took it down: the list is not told, its own hello is."""
        if not self.up:
            self.loop.create_task(self.start(cold=True))

    def drop_attempt(self, job):
        """Its gateway waits no longer: work stops, a load that has begun goes on."""
        self.running_attempts.pop((job.end, job.launch.id), None)
        job.ended, copies = True, job.copies
        if job.serial is not None:
            self.cores.drop(now(), self.speed(), job.serial)
            copies.running -= 1
            self.run_waiting(copies)
        elif job in copies.waiting:
            copies.waiting.remove(job)

    def draw(self, mean):
        return -mean * log(max(1e-6, 1 - self.chance()))
