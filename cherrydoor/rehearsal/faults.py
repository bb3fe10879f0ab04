"""Plans the steps of a scenario's faults from the values of the scenario and its seed alone."""

from zlib import crc32

from cherrydoor.rehearsal.traffic import function_name


class FaultPlan:
    """The steps of one scenario in order of time, each (ms from the start, step name, values).

    Hosts and gateways are identified by number. A host that replaces another gets the next free
    number. Each fault is planned by the method of its name, with `_` for `-`.
    """

    def __init__(self, day):
        self.day, self.steps, self.draw_count = day, [], 0
        self.hosts, self.next_host = list(range(day["fleet"]["hosts"])), day["fleet"]["hosts"]
        # Key: number of a successor; value: number of the host whose specification it takes over.
        self.replaces = {}
        for fault in sorted(day["troubles"], key=lambda fault: fault["at"]):
            add_steps = getattr(self, fault["what"].replace("-", "_"), None)
            self.add_step(fault["at"] + day["warm"], "trouble", name=fault["what"], on=True)
            self.add_step(
                fault["at"] + day["warm"] + fault["lasts"],
                "trouble",
                name=fault["what"],
                on=False,
            )
            # A fault that is left out is still marked in the record.
            if add_steps and fault["what"] not in day.get("without", ()):
                add_steps(
                    fault,
                    fault["at"] + day["warm"],
                    fault["at"] + day["warm"] + fault["lasts"],
                )
        self.steps.sort(key=lambda step: step[0])

    def add_step(self, at_ms, step, **values):
        self.steps.append((at_ms, step, values))

    def next_random(self):
        """Returns the next number from 0 to 1 of the plan's own seeded sequence."""
        self.draw_count += 1
        return crc32(f"troubles/{self.day['seed']}/{self.draw_count}".encode()) / 2.0**32

    def targets(self, fault, candidates=None):
        """Returns the hosts, or those of `candidates`, that a fault affects.

        These are the ones it names or, if it names none, a seeded sample.
        """
        if fault.get("on"):
            return [
                self.present_host(number) if candidates is None else number
                for number in fault["on"]
            ]
        return self.sample(fault["part"], candidates)

    def present_host(self, host):
        """Returns the host that has replaced the given one by now, or the host itself."""
        return next(
            (present for present in reversed(self.hosts) if self.original_host(present) == host),
            host,
        )

    def sample(self, share, candidates=None):
        """Returns a seeded sample of that share of the candidates, at least one.

        The candidates are all hosts by default.
        """
        candidates = list(self.hosts if candidates is None else candidates)
        ranked = sorted(candidates, key=lambda candidate: (self.next_random(), candidate))
        return sorted(ranked[: max(1, round(share * len(candidates)))])

    def new_successor(self, host):
        """Returns the number of a new host that replaces the given one in later faults."""
        successor, self.next_host = self.next_host, self.next_host + 1
        self.replaces[successor] = host
        self.hosts[self.hosts.index(host)] = successor
        return successor

    def add_host_command(self, fault, start_ms, end_ms, command, begin_values, end_values):
        hosts = self.targets(fault)
        self.add_step(start_ms, "hosts", do=command, hosts=hosts, values=begin_values)
        self.add_step(end_ms, "hosts", do=command, hosts=hosts, values=end_values)

    # Each method below that takes a fault plans the fault of its name.
    def crash(self, fault, start_ms, end_ms):
        for host in self.targets(fault):
            self.add_step(start_ms + 200 * self.next_random(), "crash", host=host)
            self.add_step(end_ms + 500 * self.next_random(), "return", host=host)

    def rack_restart(self, fault, start_ms, end_ms):
        for host in self.targets(fault):
            self.add_step(start_ms, "crash", host=host)
            self.add_step(end_ms, "return", host=host)

    def slow(self, fault, start_ms, end_ms):
        self.add_host_command(
            fault, start_ms, end_ms, "slow", {"times": fault["size"]}, {"times": 1.0}
        )

    def ageing(self, fault, start_ms, end_ms):
        hosts = self.targets(fault)
        for step in range(1, 9):
            self.add_step(
                start_ms + (end_ms - start_ms) * step / 9,
                "hosts",
                do="slow",
                hosts=hosts,
                values={"times": 1 + (fault["size"] - 1) * step / 8},
            )
        self.add_step(end_ms, "hosts", do="slow", hosts=hosts, values={"times": 1.0})

    def pauses(self, fault, start_ms, end_ms):
        self.add_host_command(
            fault,
            start_ms,
            end_ms,
            "pause",
            {"ms": 150.0 * fault["size"], "every": 1500.0},
            {"ms": 0},
        )

    def late_reports(self, fault, start_ms, end_ms):
        self.add_host_command(
            fault | {"part": 1.0, "on": None},
            start_ms,
            end_ms,
            "late",
            {"ms": 1000.0 * fault["size"]},
            {"ms": 0.0},
        )

    def lost_answers(self, fault, start_ms, end_ms):
        self.add_host_command(
            fault, start_ms, end_ms, "lose", {"share": min(1.0, fault["size"])}, {"share": 0.0}
        )

    def deaf(self, fault, start_ms, end_ms):
        """Hosts leave a share of the requests of one class unanswered, and of no other class."""
        names = [event["name"] for event in self.day["events"]]
        name = fault.get("event") or names[0]
        self.add_host_command(
            fault,
            start_ms,
            end_ms,
            "deaf",
            {"clause": name, "share": min(1.0, fault["size"])},
            {"clause": name},
        )

    def silent(self, fault, start_ms, end_ms):
        self.add_host_command(fault, start_ms, end_ms, "silent", {"on": True}, {"on": False})

    def refuse(self, fault, start_ms, end_ms):
        self.add_host_command(fault, start_ms, end_ms, "refuse", {"on": True}, {"on": False})

    def floor_loss(self, fault, start_ms, end_ms):
        """A floor loses all its hosts and, with `gateways`, its gateways.

        Silent hosts come back as they were, crashed hosts come back cold.
        """
        floors = len(self.day["fleet"]["floors"])
        on_floor = [
            host for host in self.hosts if self.original_host(host) % floors == fault["floor"]
        ]
        if fault["silent"]:
            self.add_step(start_ms, "hosts", do="silent", hosts=on_floor, values={"on": True})
            self.add_step(end_ms, "hosts", do="silent", hosts=on_floor, values={"on": False})
        else:
            for host in on_floor:
                self.add_step(start_ms, "crash", host=host)
                self.add_step(end_ms + 1500 * self.next_random(), "return", host=host)
        if fault["gateways"]:
            for gateway in range(fault["floor"], self.day["gateways"]["count"], floors):
                self.add_step(start_ms, "kill gateway", gateway=gateway)
                self.add_step(end_ms, "start gateway", gateway=gateway)

    def original_host(self, host):
        while host in self.replaces:
            host = self.replaces[host]
        return host

    def deploy(self, fault, start_ms, end_ms):
        """Hosts drain and leave in batches and are replaced by cold ones on other ports."""
        hosts = self.targets(fault)
        size = max(1, round(len(hosts) * 0.2))
        batches = [hosts[index : index + size] for index in range(0, len(hosts), size)]
        interval_ms, drain_ms = (end_ms - start_ms) / len(batches), 1000.0 * fault["size"]
        for index, batch in enumerate(batches):
            for host in batch:
                self.add_step(start_ms + index * interval_ms, "drain", host=host)
                self.add_step(start_ms + index * interval_ms + drain_ms, "leave", host=host)
                self.add_step(
                    start_ms + index * interval_ms + drain_ms + 100,
                    "join",
                    host=self.new_successor(host),
                    replaces=host,
                )

    def take_away(self, fault, start_ms, end_ms):
        """Hosts are preempted at short notice in waves of a third.

        Each is replaced 4 s after it left.
        """
        hosts = self.targets(fault)
        for index, host in enumerate(hosts):
            drain_at_ms = start_ms + (end_ms - start_ms) * (index // max(1, len(hosts) // 3)) / 3
            self.add_step(drain_at_ms, "drain", host=host)
            self.add_step(drain_at_ms + 1000.0 * fault["size"], "leave", host=host)
            self.add_step(
                drain_at_ms + 1000.0 * fault["size"] + 4000,
                "join",
                host=self.new_successor(host),
                replaces=host,
            )

    def gateway_crash(self, fault, start_ms, end_ms):
        for gateway in self.targets(fault, range(self.day["gateways"]["count"])):
            self.add_step(start_ms, "kill gateway", gateway=gateway)
            self.add_step(end_ms, "start gateway", gateway=gateway)

    def gateway_stall(self, fault, start_ms, end_ms):
        for gateway in self.targets(fault, range(self.day["gateways"]["count"])):
            self.add_step(start_ms, "stop gateway", gateway=gateway)
            self.add_step(end_ms, "continue gateway", gateway=gateway)

    def cut_off(self, fault, start_ms, end_ms):
        """Gateways are cut off from peers and hosts in both directions, but not from clients."""
        gateways = self.targets(fault, range(self.day["gateways"]["count"]))
        self.add_step(start_ms, "cut", gateways=gateways, on=True)
        self.add_step(end_ms, "cut", gateways=gateways, on=False)

    def site_drain(self, fault, start_ms, end_ms):
        """An operator drains a zone, which moves its sessions to neighbours, and undoes this later.

        With a size below 1 there is no command: all hosts of the floor are set to draining in the
        list at once, as in a fleet without zone drains, and nothing is undone.
        """
        floors = self.day["fleet"]["floors"]
        site = floors[fault["floor"]]
        if fault["size"] < 1:
            for host in [
                host
                for host in self.hosts
                if self.original_host(host) % len(floors) == fault["floor"]
            ]:
                self.add_step(start_ms, "drain", host=host)
            return
        self.add_step(start_ms, "site", site=site, word="drain")
        self.add_step(end_ms, "site", site=site, word="undo")

    def conductor_crash(self, fault, start_ms, end_ms):
        self.add_step(start_ms, "kill conductor", back=end_ms - start_ms)

    def noise(self, fault, start_ms, end_ms):
        """Frames between gateways are delayed, duplicated and reordered.

        A tenth of `part` is the share of frames that are dropped.
        """
        self.add_step(
            start_ms,
            "noise",
            values={
                "delay": 1.0,
                "spread": 20.0 * fault["size"],
                "double": 0.1,
                "reorder": 0.1,
                "drop": fault["part"] / 10,
            },
        )
        self.add_step(end_ms, "noise", values={})

    def slow_store(self, fault, start_ms, end_ms):
        self.add_step(start_ms, "store", slow=fault["size"])
        self.add_step(end_ms, "store", slow=1.0)

    def store_stop(self, fault, start_ms, end_ms):
        self.add_step(start_ms, "store", stopped=True)
        self.add_step(end_ms, "store", stopped=False)

    def list_deaf(self, fault, start_ms, end_ms):
        self.add_step(start_ms, "list", on=True)
        self.add_step(end_ms, "list", on=False)

    def release(self, fault, start_ms, end_ms):
        """Releases a good version of a share (`part`) of the functions, the most-called first."""
        self.add_step(
            start_ms,
            "release",
            functions=self.most_called(fault["part"]),
            version=int(start_ms),
            bad={},
        )

    mass_release = release

    def bad_release(self, fault, start_ms, end_ms):
        """Releases a bad version.

        Up to size 1 it fails on that share of requests, above 1 it is slower by that factor.
        """
        size = fault["size"]
        self.add_step(
            start_ms,
            "release",
            functions=self.most_called(fault["part"]),
            version=int(start_ms),
            bad={"fail": size} if size <= 1 else {"slow": size},
        )

    def most_called(self, share):
        count = self.day["functions"]["count"]
        return [function_name(number) for number in range(max(1, round(share * count)))]

    def flood(self, fault, start_ms, end_ms):
        self.add_step(start_ms, "flood", per_second=100.0 * fault["size"])
        self.add_step(end_ms, "flood", per_second=0.0)

    def reconnect(self, fault, start_ms, end_ms):
        self.add_step(start_ms, "reconnect", count=max(1, int(fault["size"])))

    def key_change(self, fault, start_ms, end_ms):
        self.add_step(
            start_ms,
            "key change",
            times=max(1, int(fault["size"])),
            gateways=self.sample(fault["part"], range(self.day["gateways"]["count"])),
        )

    def flush(self, fault, start_ms, end_ms):
        count = self.day["functions"]["count"]
        functions = [function_name(number) for number in self.sample(fault["part"], range(count))]
        self.add_step(start_ms, "flush", functions=functions, release=int(start_ms))

    def failing(self, fault, start_ms, end_ms):
        functions = [
            function_name(number)
            for number in self.sample(fault["part"], range(self.day["functions"]["count"]))
        ]
        self.add_step(
            start_ms, "hosts", do="fail", hosts=None, values={"functions": functions, "on": True}
        )
        self.add_step(
            end_ms, "hosts", do="fail", hosts=None, values={"functions": functions, "on": False}
        )
