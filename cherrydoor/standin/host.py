"""A host: loads functions from the store on demand, runs events on shared cores, tells late and noisily what it holds.

One Farm serves many hosts in one process, each on a port of its own; troubles come as commands. What a host does it
records: each launch as it came, each effect as it happened, each answer as it went.
"""

import asyncio
from collections import deque
from math import log
from zlib import crc32

from cherrydoor.ends import End, Some
from cherrydoor.frames import messages as m
from cherrydoor.standin.cores import Cores
from cherrydoor.standin.record import now, wall


class Build:
    """What a host is: figures that its commands may change while it runs. Times in ms, memory in MB."""

    def __init__(self, cores=2, speed=1.0, memory=6000.0, queue=24, loads=4, keep=10000.0, eager=True, disk=8000.0,
                 cold_from=1.0, cold=0.0, multiple=0.0, fall=0.0, report=300.0, late=0.0, noise=0.05,
                 tells_held=False, error_rate=0.0, remember=5000.0, zone="", cell=0, misses=False, load_fail=0.0,
                 tells_copy=True, tells_crowd=True, tells_queue=False, tells_tied=False):
        self.__dict__.update({k: v for k, v in locals().items() if k != "self"})


class Copies:
    """One function at one host: copies standing and loading, events on them and waiting for them."""

    def __init__(self, name):
        self.name, self.facts, self.standing, self.loading, self.running = name, None, 0, 0, 0
        self.waiting, self.used, self.release, self.asked = deque(), 0.0, 0, []

    def held(self):
        return self.running + len(self.waiting)

    def idle(self):
        lanes = self.facts.lanes if self.facts else 1
        return self.standing - -(-self.running // lanes)


class Job:
    """An event at a host."""

    def __init__(self, end, launch, copies):
        self.end, self.launch, self.copies, self.copy, self.crowd = end, launch, copies, 1, 0
        self.serial, self.over, self.at = None, False, now()


class Host:
    """One host on one port. `up` is False while its process is dead."""

    def __init__(self, farm, name, build, seed):
        self.farm, self.id, self.build, self.seed, self.drawn = farm, name, build, seed, 0
        self.record, self.loop, self.server, self.ends = farm.record, farm.loop, None, Some()
        self.up, self.draining, self.images = False, False, {}
        self.quiet = self.refuse = False
        self.slow, self.lose, self.pause, self.paused_until = 1.0, 0.0, None, 0.0
        self.deaf = {}              # event type -> share of its events that are left unanswered
        self.alarm = None

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    # ---- life
    async def start(self, port=0, cold=True):
        host, _, given = self.id.rpartition(":")
        self.server = await self.loop.create_server(lambda: End(self, m.TO_HOST, self.hello), host or "127.0.0.1",
                                                    port or int(given or 0), backlog=1024, reuse_address=True)
        self.id = f"{host or '127.0.0.1'}:{self.server.sockets[0].getsockname()[1]}"
        self.begin(cold)
        return self.id

    def begin(self, cold):
        """A process that has just started: empty, and cold where it is told to be."""
        self.up, self.draining, self.started = True, False, now() if cold else 0.0
        self.tallies = {}           # version -> events, errors, slow since the start
        self.since = wall() if cold else 0.0
        self.cores, self.functions, self.jobs = Cores(self.build.cores, now()), {}, {}
        self.loads, self.load_queue, self.reports, self.work = set(), deque(), deque(), deque()
        self.fell = False
        if not self.build.disk:
            self.images = {}
        b = self.build
        self.record.add("host up", self.id, a=b.cores * b.speed, b=self.started, text=f"{b.zone}/{b.cell}",
                        number=int(cold))
        self.kick()

    def hello(self):
        return m.Hello(m.VERSION, "host", self.id, now(), self.since)

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
    def greeted(self, end, hello):
        if self.refuse or not self.up:
            return end.abort()
        end.name = hello.name
        self.ends.add(end)

    def lost(self, end):
        self.ends.discard(end)
        for job in [j for j in self.jobs.values() if j.end is end] if self.up else ():
            self.record.add("cut", self.id, end.name, job.launch.id, job.launch.event, job.launch.number)
            self.let_go(job)

    def heard(self, end, message):
        if not self.up:
            return
        kind = type(message)
        if kind is m.Launch:
            self.launched(end, message)
        elif kind is m.Recall:
            job = self.jobs.get((end, message.id))
            self.record.add("recall", self.id, end.name, message.id, job.launch.event if job else 0)
            if job:
                self.let_go(job)
        elif kind is m.Probe:
            self.record.add("probe", self.id, end.name, message.id)
            self.cores.add(now(), self.speed(), 0.3, lambda: self.say(end, m.Probed(message.id, "handled",
                                                                                    self.told_held())))
            self.kick()
        elif kind is m.Order:
            self.ordered(end, message)
        elif kind is m.Drop:
            copies = self.functions.get(message.function)
            if copies:
                copies.standing -= max(0, copies.idle())
            self.say(end, m.Dropped(message.id, copies.standing if copies else 0))

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
        mean = self.farm.mean_work(launch.function)
        self.record.add("launch", self.id, end.name, launch.id, launch.event, launch.number, launch.function,
                        launch.clause, launch.client, launch.mark, a=launch.limit, b=mean)
        if self.falls(mean):
            return
        copies = self.functions.get(launch.function) or Copies(launch.function)
        self.functions[launch.function] = copies
        job = Job(end, launch, copies)
        job.crowd = min(30, copies.held())
        if self.draining or len(self.jobs) >= self.build.queue or self.build.misses and not (
                copies.standing or copies.loading):
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
        elif (self.build.eager and copies.held() > (copies.standing + copies.loading) * copies.facts.lanes
              and not copies.loading):
            self.begin_load(copies)
        self.run_waiting(copies)

    def run_waiting(self, copies):
        while copies.waiting and copies.standing and copies.running < copies.standing * copies.facts.lanes:
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
            job.serial = self.cores.add(now(), self.speed(), work, lambda job=job: self.finished(job))
        self.kick()

    def finished(self, job):
        copies = job.copies
        copies.running -= 1
        copies.used = now()
        self.jobs.pop((job.end, job.launch.id), None)
        launch = job.launch
        if self.farm.effect(self, launch):
            self.record.add("effect", self.id, job.end.name, launch.id, launch.event, launch.number,
                            launch.function, launch.clause, launch.client, launch.mark)
        bad = self.farm.bad.get(launch.function, {})
        fails = (self.chance() < self.build.error_rate or launch.function in self.farm.failing
                 or self.chance() < bad.get("fail", 0.0))
        lose = max(self.lose, self.deaf.get(launch.clause, 0.0))
        if lose and self.chance() < lose:
            self.record.add("answer lost", self.id, job.end.name, launch.id, launch.event, launch.number)
        else:
            self.answer(job, "error" if fails else "handled")
        self.run_waiting(copies)

    def answer(self, job, fate, copy=None):
        job.over, launch = True, job.launch
        copy = job.copy if copy is None else copy
        body = b"x" * min(len(launch.body), 4 * 2**20) if fate == "handled" else b""
        if not self.quiet:
            self.record.add("outcome", self.id, job.end.name, launch.id, launch.event, launch.number,
                            launch.function, fate=fate, a=copy, b=job.crowd)
        else:
            self.record.add("answer lost", self.id, job.end.name, launch.id, launch.event, launch.number)
        held = self.told_held() if self.build.tells_held else None
        tally = None
        if fate == "handled" or fate == "error" and copy != 4:
            told = self.tallies.setdefault(launch.function, [0, 0, 0])
            told[0] += 1
            told[1] += fate == "error"
            told[2] += bool(fate == "handled" and copy == 1 and launch.usual and now() - job.at > launch.usual)
            tally = tuple(told)
        b, tells = self.build, fate == "handled" and self.build.tells_copy or copy == 4
        self.say(job.end, m.Outcome(launch.id, fate, copy if tells else 0, job.crowd if b.tells_crowd else 0, held,
                                    body, tally, self.waiting() if b.tells_queue else None,
                                    self.tied() if b.tells_tied else None))

    def waiting(self):
        return float(sum(len(copies.waiting) for copies in self.functions.values()))

    def tied(self):
        """The share of memory of copies at work or loading."""
        used = sum((copies.standing - copies.idle() + copies.loading) * copies.facts.memory
                   for copies in self.functions.values() if copies.facts)
        return min(10.0, max(0.0, used / self.build.memory))

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

    # ---- loads
    def room(self, memory):
        """Frees memory of idle copies, the one idle longest first; False where that is not enough."""
        used = sum((c.standing + c.loading) * c.facts.memory for c in self.functions.values() if c.facts)
        idle = sorted((c for c in self.functions.values() if c.idle() > 0 and not c.waiting), key=lambda c: c.used)
        for copies in idle:
            while used + memory > self.build.memory and copies.idle() > 0:
                copies.standing -= 1
                used -= copies.facts.memory
        return used + memory <= self.build.memory

    def begin_load(self, copies):
        """True if a load is under way or waits for its turn."""
        copies.facts = copies.facts or self.farm.facts(copies.name)
        if len(self.loads) + len(self.load_queue) >= 3 * self.build.loads or not self.room(copies.facts.memory):
            return False
        copies.loading += 1
        if len(self.loads) >= self.build.loads:
            self.load_queue.append(copies)
        else:
            self.fetch(copies)
        return True

    def fetch(self, copies):
        self.loads.add((copies, began := now()))
        self.record.add("load", self.id, function=copies.name)
        image = self.images.get(copies.name)
        if image is not None and image.release == self.farm.releases.get(copies.name, 0):
            return self.fetched(copies, began, image)
        self.farm.store.fetch(copies.name, lambda facts, life=self.since: self.up and life == self.since
                              and self.fetched(copies, began, facts))

    def fetched(self, copies, began, facts):
        unfit = self.chance() < self.farm.bad.get(copies.name, {}).get("load_fail", 0.0)
        if facts.fate != "handled" or self.chance() < self.build.load_fail or unfit:
            return self.load_over(copies, began, False)
        copies.facts = facts
        if self.build.disk:
            self.images[copies.name] = facts
            if sum(i.memory for i in self.images.values()) > self.build.disk:
                self.images.pop(next(iter(self.images)))
        core = facts.start * facts.core
        life = self.since

        def started():
            self.cores.add(now(), self.speed(), core, lambda: self.load_over(copies, began, True))
            self.kick()
        self.loop.call_later((facts.start - core) / 1000,
                             lambda: self.up and life == self.since and started())

    def load_over(self, copies, began, good):
        self.loads.discard((copies, began))
        copies.loading -= 1
        copies.used = now()
        if good:
            copies.standing += 1
            copies.release = copies.facts.release
        elif not copies.standing:
            for job in copies.waiting:
                self.jobs.pop((job.end, job.launch.id), None)
                self.answer(job, "missing" if self.build.misses else "error", 4)
            copies.waiting.clear()
        if self.load_queue and len(self.loads) < self.build.loads:
            after = self.load_queue.popleft()
            if after.waiting or after.asked:
                self.fetch(after)
            else:
                after.loading -= 1
        for order in list(copies.asked):
            self.settle(copies, order, good)
        self.run_waiting(copies)
        if good and copies.release != self.farm.releases.get(copies.name, 0):
            self.loop.call_soon(self.void, copies.name)

    def ordered(self, end, order):
        self.record.add("order", self.id, end.name, order.id, function=order.function, number=order.copies)
        copies = self.functions.get(order.function) or Copies(order.function)
        if not order.copies:
            return self.say(end, m.Ordered(order.id, "handled", copies.standing))
        self.functions[order.function], copies.used = copies, now()
        while not self.draining and copies.standing + copies.loading < order.copies and self.begin_load(copies):
            pass
        copies.asked.append((end, order))
        self.settle(copies, (end, order), copies.standing + copies.loading >= order.copies and not self.draining)

    def settle(self, copies, asked, good):
        end, order = asked
        if copies.standing >= order.copies or not good or not copies.loading:
            copies.asked.remove(asked)
            stand = copies.standing >= order.copies
            self.say(end, m.Ordered(order.id, "handled" if stand else "full", copies.standing))

    def void(self, name):
        """The function is released anew: idle copies go now, those at work when they are done."""
        copies = self.functions.get(name)
        if copies and copies.release != self.farm.releases.get(name, 0):
            copies.standing -= max(0, copies.idle())
            if copies.standing:
                self.loop.call_later(0.05, self.void, name)
            elif copies.waiting and not copies.loading:
                self.begin_load(copies)

    def tidy(self, copies):
        if not (copies.standing or copies.loading or copies.held() or copies.asked):
            self.functions.pop(copies.name, None)

    def sweep(self):
        """Unloads what has been idle for long."""
        for copies in list(self.functions.values()):
            if copies.idle() > 0 and now() - copies.used > self.build.keep:
                copies.standing -= copies.idle()
            self.tidy(copies)

    # ---- capacity
    def level(self):
        """The share of its capacity that a host has by its age."""
        if not self.started or not self.build.cold:
            return 1.0
        return min(1.0, self.build.cold_from + (1 - self.build.cold_from) * (now() - self.started) / self.build.cold)

    def speed(self):
        return 0.0 if self.paused_until > now() else self.build.speed * self.level() / self.slow

    def falls(self, work):
        """Rule 4 as the host suffers it: more work in `fall` ms than `multiple` times what it can do now."""
        if self.level() >= 1.0 or not self.build.fall or self.fell:
            return self.fell
        t = now()
        self.work.append((t, work))
        while self.work[0][0] < t - self.build.fall:
            self.work.popleft()
        can = self.build.cores * self.build.speed * self.level() * self.build.fall
        sent = sum(w for _, w in self.work)
        if sent > self.build.multiple * can + 2 * sent / len(self.work):      # two events are left to chance
            self.fell = True
            self.record.add("fell", self.id, a=sent, b=self.build.multiple * can)
            self.kill("fell over")
        return self.fell

    def told_held(self):
        """How many events it holds, as of its last report, late and a little wrong."""
        t = now()
        while len(self.reports) > 1 and self.reports[1][0] <= t - self.build.late:
            self.reports.popleft()
        if not self.reports or t - self.reports[-1][0] > self.build.report:
            self.reports.append((t, len(self.jobs)))
        return max(0.0, self.reports[0][1] * (1 + self.build.noise * (2 * self.chance() - 1)))

    def kick(self):
        """Ends what is done and waits for the next."""
        if self.alarm:
            self.alarm.cancel()
            self.alarm = None
        if not self.up:
            return
        for job in self.cores.ended(now(), self.speed()):
            job()
        wait = self.cores.next()
        if self.alarm is None and wait is not None:
            self.alarm = self.loop.call_later(wait / 1000 + 0.0001, self.kick)
        elif self.alarm is None and self.cores.heap:
            self.alarm = self.loop.call_later(max(1.0, self.paused_until - now()) / 1000, self.kick)

    # ---- on command
    def stand_still(self, ms):
        self.paused_until = now() + ms
        self.kick()


class Store:
    """The farm's connection to the program store; what is asked for twice at once is fetched twice, as by hosts."""

    def __init__(self, farm):
        self.farm, self.end, self.calls, self.ids = farm, None, {}, 0

    def fetch(self, function, then):
        self.ids += 1
        if self.end is None:
            self.farm.loop.call_later(0.05, then, m.Fetched(0, "error"))
            return
        self.calls[self.ids] = then
        self.end.write(m.Fetch(self.ids, function))

    def greeted(self, end, hello):
        self.end = end

    def heard(self, end, message):
        then = self.calls.pop(message.id, None)
        if then:
            then(message)

    def lost(self, end):
        self.end, calls, self.calls = None, self.calls, {}
        for then in calls.values():
            then(m.Fetched(0, "error"))


class Farm:
    """All hosts of one process, and what they share only as a model: marks of keyed events by group, and releases."""

    def __init__(self, record, catalogue, seed=1):
        self.record, self.catalogue, self.seed, self.loop = record, catalogue, seed, asyncio.get_running_loop()
        self.hosts, self.store, self.marks, self.failing = {}, Store(self), {}, set()
        self.releases = {}
        self.bad = {}               # version -> what is wrong with it: parts fail, crash, load_fail; times slow

    async def add(self, name="127.0.0.1:0", build=None, cold=False):
        host = Host(self, name, build or Build(), f"{self.seed}/{len(self.hosts)}")
        await host.start(cold=cold)
        self.hosts[host.id] = host
        return host

    def sweep(self):
        for host in self.hosts.values():
            if host.up:
                host.sweep()
        old = now() - 60000
        self.marks = {k: v for k, v in self.marks.items() if v > old}
        self.loop.call_later(1.0, self.sweep)

    def facts(self, function):
        return self.catalogue(function)

    def mean_work(self, function):
        return self.catalogue(function).work

    def group(self, host, launch):
        scope = self.scopes.get(launch.clause) if launch.mark else None
        return scope and {"all": "", "zone": host.build.zone, "cell": f"{host.build.zone}/{host.build.cell}"}[scope]

    scopes: dict = {}           # keyed clause -> all, zone or cell

    def first(self, host, launch):
        """False where the group remembers the mark: then no effect happens."""
        group = self.group(host, launch)
        if group is None:
            return True
        at = self.marks.get((group, launch.mark))
        return at is None or now() - at > host.build.remember

    def effect(self, host, launch):
        """Notes the mark; True if this run has an effect."""
        first, group = self.first(host, launch), self.group(host, launch)
        if first and group is not None:
            self.marks[group, launch.mark] = now()
        return first
