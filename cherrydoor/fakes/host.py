"""A host: loads functions from the store on demand, runs events on shared cores, tells late and noisily what it holds.

One Farm serves many hosts in one process, each on a port of its own; troubles come as commands. What a host does it
records: each launch as it came, each effect as it happened, each answer as it went.
"""

from collections import deque
from math import log
from zlib import crc32

from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.fakes.capacity import Capacity
from cherrydoor.fakes.copies import Copies, Job
from cherrydoor.fakes.cores import Cores
from cherrydoor.fakes.estates import Estates
from cherrydoor.fakes.loads import Loads
from cherrydoor.fakes.record import now, wall
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol


class Host(Loads, Capacity, Estates):
    """One host on one port. `up` is False while its process is dead."""

    def __init__(self, farm, name, build, seed, bind=""):
        """bind: where it listens, if that is not its name: something stands between."""
        self.bind = bind
        self.farm, self.id, self.build, self.seed, self.drawn = farm, name, build, seed, 0
        self.record, self.loop, self.server, self.ends = farm.record, farm.loop, None, OrderedSet()
        self.up, self.draining, self.images = False, False, {}
        self.quiet = self.refuse = False
        self.slow, self.lose, self.pause, self.paused_until = 1.0, 0.0, None, 0.0
        self.deaf = {}  # event type -> share of its events that are left unanswered
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
        self.cores, self.functions, self.jobs = Cores(self.build.cores, now()), {}, {}
        self.loads, self.load_queue, self.reports, self.work = set(), deque(), deque(), deque()
        self.fell = False
        self.begin_estates()
        if not self.build.disk:
            self.images = {}
        b = self.build
        self.record.add(
            "host up",
            self.id,
            a=b.cores * b.speed,
            b=self.started,
            text=f"{b.zone}/{b.cell}",
            number=int(cold),
        )
        self.kick()

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
        for end in list(self.ends):
            end.abort()
        self.ends.clear()

    # ---- connections
    def hello_received(self, end, hello):
        if self.refuse or not self.up:
            return end.abort()
        end.name, end.incarnation = hello.name, hello.incarnation
        if self.refused(end):
            return end.close(custody.INCARNATION_ENDED)
        self.ends.add(end)

    def connection_ended(self, end):
        self.ends.discard(end)
        if getattr(
            end, "incarnation", 0
        ):  # its work goes on: the gateway may be lost, and have an heir
            return
        for job in [j for j in self.jobs.values() if j.end is end] if self.up else ():
            self.record.add(
                "cut", self.id, end.name, job.launch.id, job.launch.request_id, job.launch.attempt
            )
            self.let_go(job)

    def message_received(self, end, message):
        if not self.up:
            return
        kind = type(message)
        if kind is protocol.Attempt:
            self.launched(end, message)
        elif kind is protocol.CancelAttempt:
            job = self.recalled(end, message)
            self.record.add(
                "recall", self.id, end.name, message.id, job.launch.request_id if job else 0
            )
            if job:
                self.let_go(job)
        elif kind is protocol.HealthCheck:
            self.record.add("probe", self.id, end.name, message.id)
            self.cores.add(
                now(),
                self.speed(),
                0.3,
                lambda: self.say(
                    end, protocol.HealthCheckResult(message.id, "handled", self.told_held())
                ),
            )
            self.kick()
        elif kind is protocol.LoadOrder:
            self.ordered(end, message)
        elif kind is custody.EndIncarnation:
            self.over(end, message)
        elif kind is custody.AdoptAttempt:
            self.adopt(end, message)
        elif kind is custody.CountInFlight:
            self.count(end, message)
        elif kind is protocol.Unload:
            copies = self.functions.get(message.function)
            if copies:
                copies.standing -= max(0, copies.idle())
            self.say(end, protocol.UnloadResult(message.id, copies.standing if copies else 0))

    def say(self, end, message):
        if self.quiet or not self.up:
            return
        if self.paused_until > now():
            self.loop.call_later((self.paused_until - now()) / 1000, self.say, end, message)
            return
        end.write(message)

    # ---- events
    def launched(self, end, launch):
        # the work that an event is taken to be, for rule 4: the mean of its function
        if self.refused(end, launch):
            self.record.add(
                "refused", self.id, end.name, launch.id, launch.request_id, launch.attempt
            )
            return self.say(end, protocol.AttemptResult(launch.id, "full"))
        mean = self.farm.mean_work(launch.function)
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
        if self.falls(mean):
            return
        copies = self.functions.get(launch.function) or Copies(launch.function)
        self.functions[launch.function] = copies
        self.numbers += 1
        job = Job(end, launch, copies, self.origin(end, launch), self.numbers)
        job.crowd = min(30, copies.held())
        if (
            self.draining
            or len(self.jobs) >= self.build.queue
            or self.build.misses
            and not (copies.standing or copies.loading)
        ):
            self.answer(job, "missing" if self.build.misses and not self.draining else "full")
            return self.tidy(copies)
        self.jobs[end, launch.id] = job
        copies.waiting.append(job)
        copies.used = now()
        if not copies.standing:
            job.copy = 3 if copies.loading else 2
            if not copies.loading and not self.begin_load(copies):
                copies.waiting.remove(job)
                del self.jobs[end, launch.id]
                self.answer(job, "full")
                return self.tidy(copies)
        elif (
            self.build.eager
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
            bad = self.farm.bad.get(job.launch.function, {})
            work = self.draw(copies.facts.work) * bad.get("slow", 1.0)
            if self.chance() < bad.get("crash", 0.0):
                self.loop.call_soon(self.kill, "crashed by a version")
                self.loop.call_later(2.0, self.rise)
            if not self.farm.first(self, job.launch):
                work = 0.1
            job.serial = self.cores.add(
                now(), self.speed(), work, lambda job=job: self.finished(job)
            )
        self.kick()

    def finished(self, job):
        copies = job.copies
        copies.running -= 1
        copies.used = now()
        self.jobs.pop((job.end, job.launch.id), None)
        launch = job.launch
        if self.farm.effect(self, launch):
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
        bad = self.farm.bad.get(launch.function, {})
        fails = (
            self.chance() < self.build.error_rate
            or launch.function in self.farm.failing
            or self.chance() < bad.get("fail", 0.0)
        )
        lose = max(self.lose, self.deaf.get(launch.request_class, 0.0))
        if lose and self.chance() < lose:
            self.remember(
                job, "error" if fails else "handled", b"x" * min(len(launch.body), 4 * 2**20)
            )
            self.record.add(
                "answer lost", self.id, job.end.name, launch.id, launch.request_id, launch.attempt
            )
        else:
            self.answer(job, "error" if fails else "handled")
        self.run_waiting(copies)

    def answer(self, job, fate, copy=None):
        job.over, launch = True, job.launch
        copy = job.copy if copy is None else copy
        body = b"x" * min(len(launch.body), 4 * 2**20) if fate == "handled" else b""
        self.remember(job, fate, body)
        if not self.quiet:
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
                b=job.crowd,
            )
        else:
            self.record.add(
                "answer lost", self.id, job.end.name, launch.id, launch.request_id, launch.attempt
            )
        held = self.told_held() if self.build.tells_held else None
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
        b, tells = self.build, fate == "handled" and self.build.tells_copy or copy == 4
        self.say(
            job.end,
            protocol.AttemptResult(
                launch.id,
                fate,
                copy if tells else 0,
                job.crowd if b.tells_crowd else 0,
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

    def let_go(self, job):
        """Its gateway waits no longer: work stops, a load that has begun goes on."""
        self.jobs.pop((job.end, job.launch.id), None)
        job.over, copies = True, job.copies
        if job.serial is not None:
            self.cores.drop(now(), self.speed(), job.serial)
            copies.running -= 1
            self.run_waiting(copies)
        elif job in copies.waiting:
            copies.waiting.remove(job)

    def draw(self, mean):
        return -mean * log(max(1e-6, 1 - self.chance()))
