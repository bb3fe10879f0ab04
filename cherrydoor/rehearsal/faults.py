"""Troubles to steps: a pure plan of who is told what and when, from the day's figures and its seed alone."""

from zlib import crc32

from cherrydoor.rehearsal.traffic import function_name


class FaultPlan:
    """The steps of one day, each (at in ms from the start, what, values), in order of time.

    Hosts and gateways go by number; a host that takes another's place gets the next number.
    """

    def __init__(self, day):
        self.day, self.steps, self.drawn = day, [], 0
        self.hosts, self.next_host = list(range(day["fleet"]["hosts"])), day["fleet"]["hosts"]
        self.replaces = {}  # number of a successor -> the host whose build it takes
        for trouble in sorted(day["troubles"], key=lambda t: t["at"]):
            plan = getattr(self, trouble["what"].replace("-", "_"), None)
            self.add(trouble["at"] + day["warm"], "trouble", name=trouble["what"], on=True)
            self.add(
                trouble["at"] + day["warm"] + trouble["lasts"],
                "trouble",
                name=trouble["what"],
                on=False,
            )
            if plan and trouble["what"] not in day.get("without", ()):  # left out, but marked
                plan(
                    trouble,
                    trouble["at"] + day["warm"],
                    trouble["at"] + day["warm"] + trouble["lasts"],
                )
        self.steps.sort(key=lambda step: step[0])

    def add(self, at, what, **values):
        self.steps.append((at, what, values))

    def chance(self):
        self.drawn += 1
        return crc32(f"troubles/{self.day['seed']}/{self.drawn}".encode()) / 2.0**32

    def targets(self, trouble, of=None):
        """Those that the trouble names, where it names any; else a part chosen by the seed."""
        if trouble.get("on"):
            return [self.present_host(n) if of is None else n for n in trouble["on"]]
        return self.sample(trouble["part"], of)

    def present_host(self, host):
        """Who stands in that host's place by now."""
        return next((new for new in reversed(self.hosts) if self.original(new) == host), host)

    def sample(self, part, of=None):
        """At least one of them, chosen by the seed."""
        of = list(self.hosts if of is None else of)
        ranked = sorted(of, key=lambda one: (self.chance(), one))
        return sorted(ranked[: max(1, round(part * len(of)))])

    def successor(self, host):
        new, self.next_host = self.next_host, self.next_host + 1
        self.replaces[new] = host
        self.hosts[self.hosts.index(host)] = new
        return new

    def add_host_command(self, trouble, at, end, do, on, off):
        hosts = self.targets(trouble)
        self.add(at, "hosts", do=do, hosts=hosts, values=on)
        self.add(end, "hosts", do=do, hosts=hosts, values=off)

    # ---- each trouble of the table
    def crash(self, trouble, at, end):
        for host in self.targets(trouble):
            self.add(at + 200 * self.chance(), "crash", host=host)
            self.add(end + 500 * self.chance(), "return", host=host)

    def rack_restart(self, trouble, at, end):
        for host in self.targets(trouble):
            self.add(at, "crash", host=host)
            self.add(end, "return", host=host)

    def slow(self, trouble, at, end):
        self.add_host_command(trouble, at, end, "slow", {"times": trouble["size"]}, {"times": 1.0})

    def ageing(self, trouble, at, end):
        hosts = self.targets(trouble)
        for i in range(1, 9):
            self.add(
                at + (end - at) * i / 9,
                "hosts",
                do="slow",
                hosts=hosts,
                values={"times": 1 + (trouble["size"] - 1) * i / 8},
            )
        self.add(end, "hosts", do="slow", hosts=hosts, values={"times": 1.0})

    def pauses(self, trouble, at, end):
        self.add_host_command(
            trouble, at, end, "pause", {"ms": 150.0 * trouble["size"], "every": 1500.0}, {"ms": 0}
        )

    def late_reports(self, trouble, at, end):
        self.add_host_command(
            trouble | {"part": 1.0, "on": None},
            at,
            end,
            "late",
            {"ms": 1000.0 * trouble["size"]},
            {"ms": 0.0},
        )

    def lost_answers(self, trouble, at, end):
        self.add_host_command(
            trouble, at, end, "lose", {"share": min(1.0, trouble["size"])}, {"share": 0.0}
        )

    def deaf(self, trouble, at, end):
        """One event type is left unanswered, mostly; the others are served."""
        names = [event["name"] for event in self.day["events"]]
        name = trouble.get("event") or names[0]
        self.add_host_command(
            trouble,
            at,
            end,
            "deaf",
            {"clause": name, "share": min(1.0, trouble["size"])},
            {"clause": name},
        )

    def silent(self, trouble, at, end):
        self.add_host_command(trouble, at, end, "silent", {"on": True}, {"on": False})

    def refuse(self, trouble, at, end):
        self.add_host_command(trouble, at, end, "refuse", {"on": True}, {"on": False})

    def floor_loss(self, trouble, at, end):
        """All hosts of a floor, at times with its gateways; silent ones come back as they were, dead ones cold."""
        floors = len(self.day["fleet"]["floors"])
        on_floor = [h for h in self.hosts if self.original(h) % floors == trouble["floor"]]
        if trouble["silent"]:
            self.add(at, "hosts", do="silent", hosts=on_floor, values={"on": True})
            self.add(end, "hosts", do="silent", hosts=on_floor, values={"on": False})
        else:
            for host in on_floor:
                self.add(at, "crash", host=host)
                self.add(end + 1500 * self.chance(), "return", host=host)
        if trouble["gateways"]:
            for gateway in range(trouble["floor"], self.day["gateways"]["count"], floors):
                self.add(at, "kill gateway", gateway=gateway)
                self.add(end, "start gateway", gateway=gateway)

    def original(self, host):
        while host in self.replaces:
            host = self.replaces[host]
        return host

    def deploy(self, trouble, at, end):
        """In batches: drain, leave, and a cold successor on another port."""
        hosts = self.targets(trouble)
        size = max(1, round(len(hosts) * 0.2))
        batches = [hosts[i : i + size] for i in range(0, len(hosts), size)]
        gap, drain = (end - at) / len(batches), 1000.0 * trouble["size"]
        for i, batch in enumerate(batches):
            for host in batch:
                self.add(at + i * gap, "drain", host=host)
                self.add(at + i * gap + drain, "leave", host=host)
                self.add(
                    at + i * gap + drain + 100, "join", host=self.successor(host), replaces=host
                )

    def take_away(self, trouble, at, end):
        """Hosts are taken with short notice, in waves; others come in their place later."""
        hosts = self.targets(trouble)
        for i, host in enumerate(hosts):
            when = at + (end - at) * (i // max(1, len(hosts) // 3)) / 3
            self.add(when, "drain", host=host)
            self.add(when + 1000.0 * trouble["size"], "leave", host=host)
            self.add(
                when + 1000.0 * trouble["size"] + 4000,
                "join",
                host=self.successor(host),
                replaces=host,
            )

    def gateway_crash(self, trouble, at, end):
        for gateway in self.targets(trouble, range(self.day["gateways"]["count"])):
            self.add(at, "kill gateway", gateway=gateway)
            self.add(end, "start gateway", gateway=gateway)

    def gateway_stall(self, trouble, at, end):
        for gateway in self.targets(trouble, range(self.day["gateways"]["count"])):
            self.add(at, "stop gateway", gateway=gateway)
            self.add(end, "continue gateway", gateway=gateway)

    def cut_off(self, trouble, at, end):
        """Gateways that hear nobody and are heard by nobody: no peer, no host; clients reach them."""
        gateways = self.targets(trouble, range(self.day["gateways"]["count"]))
        self.add(at, "cut", gateways=gateways, on=True)
        self.add(end, "cut", gateways=gateways, on=False)

    def site_drain(self, trouble, at, end):
        """The floor's sessions go to neighbours, by an operator's word to gateways; with a size below 1 its hosts are
        set to drain in the list at once instead, as without any of this. Undone at the end."""
        floors = self.day["fleet"]["floors"]
        site = floors[trouble["floor"]]
        if trouble["size"] < 1:
            for host in [
                h for h in self.hosts if self.original(h) % len(floors) == trouble["floor"]
            ]:
                self.add(at, "drain", host=host)
            return
        self.add(at, "site", site=site, word="drain")
        self.add(end, "site", site=site, word="undo")

    def conductor_crash(self, trouble, at, end):
        self.add(at, "kill conductor", back=end - at)

    def noise(self, trouble, at, end):
        """Frames between gateways come late, twice and out of order, and a share (`part`) not at all."""
        self.add(
            at,
            "noise",
            values={
                "delay": 1.0,
                "spread": 20.0 * trouble["size"],
                "double": 0.1,
                "reorder": 0.1,
                "drop": trouble["part"] / 10,
            },
        )
        self.add(end, "noise", values={})

    def slow_store(self, trouble, at, end):
        self.add(at, "store", slow=trouble["size"])
        self.add(end, "store", slow=1.0)

    def store_stop(self, trouble, at, end):
        self.add(at, "store", stopped=True)
        self.add(end, "store", stopped=False)

    def list_deaf(self, trouble, at, end):
        self.add(at, "list", on=True)
        self.add(end, "list", on=False)

    def release(self, trouble, at, end):
        """A good version of `part` of the functions, the most-called first."""
        self.add(
            at, "release", functions=self.most_called(trouble["part"]), version=int(at), bad={}
        )

    mass_release = release

    def bad_release(self, trouble, at, end):
        """One that fails on a share of events (size 0 to 1), or one that is slow (times, above 1)."""
        size = trouble["size"]
        self.add(
            at,
            "release",
            functions=self.most_called(trouble["part"]),
            version=int(at),
            bad={"fail": size} if size <= 1 else {"slow": size},
        )

    def most_called(self, part):
        count = self.day["functions"]["count"]
        return [function_name(f) for f in range(max(1, round(part * count)))]

    def flood(self, trouble, at, end):
        self.add(at, "flood", per_second=100.0 * trouble["size"])
        self.add(end, "flood", per_second=0.0)

    def reconnect(self, trouble, at, end):
        self.add(at, "reconnect", count=max(1, int(trouble["size"])))

    def key_change(self, trouble, at, end):
        self.add(
            at,
            "key change",
            times=max(1, int(trouble["size"])),
            gateways=self.sample(trouble["part"], range(self.day["gateways"]["count"])),
        )

    def flush(self, trouble, at, end):
        count = self.day["functions"]["count"]
        functions = [function_name(f) for f in self.sample(trouble["part"], range(count))]
        self.add(at, "flush", functions=functions, release=int(at))

    def failing(self, trouble, at, end):
        functions = [
            function_name(f)
            for f in self.sample(trouble["part"], range(self.day["functions"]["count"]))
        ]
        self.add(at, "hosts", do="fail", hosts=None, values={"functions": functions, "on": True})
        self.add(end, "hosts", do="fail", hosts=None, values={"functions": functions, "on": False})
