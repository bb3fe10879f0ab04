"""A small run without violations, recorded as clients, hosts and the endpoint list would record it.

Tests change single rows of it and check which violation the audit reports.
"""

import json

from cherrydoor.fakes.record import Record
from cherrydoor.rehearsal.audit import audit

TERMS = {
    "name": "doctored",
    "seed": 1,
    "length": 60000,
    "warm": 0.0,
    "grace": 1000.0,
    "spare": 50.0,
    "twice": False,
    "decides": "module",
    "cold": {"from": 0.25, "time": 8000.0, "multiple": 3.0, "fall": 2000.0},
    "ration": {"free": 2, "share": 0.1, "within": 5000.0},
    "events": {
        name: {
            "target": 750.0,
            "max_age": 2500.0,
            "kind": kind,
            "group": "all",
            "memory": 4000.0,
            "benefit": 1.0,
            "stream": False,
        }
        for name, kind in (
            ("draft", "redeliverable"),
            ("sign", "keyed"),
            ("archive", "at-most-once"),
        )
    },
    "offices": {},
    "builds": {},
}


class Run:
    """The rows of a run, each with the `end` that records it.

    Tests add rows, change those that `find` returns, or remove them with `drop`.
    """

    def __init__(self):
        self.rows, self.launch_ids = [], 0
        self.add("conductor", "terms", 0.0, text=json.dumps(TERMS))
        self.add("conductor", "begun", 1000.0, a=0.0, b=60000.0)
        for host in ("h1", "h2"):
            self.add("host", "host up", 500.0, who=host, a=2.0)
        self.update_endpoints(600.0, 1, "g0", {"h1": "ready", "h2": "ready"}, whole=True)
        for number in range(30):
            self.event(number, 2000.0 + 100 * number, ("draft", "sign", "archive")[number % 3])

    def add(self, end, what, t, who="", **more):
        self.rows.append({"end": end, "what": what, "t": t, "who": who or end, **more})
        return self.rows[-1]

    def update_endpoints(self, t, revision, gateway, states, whole=False):
        """Adds an update of the endpoint list to one gateway, which receives it 5 ms later."""
        for host, state in states.items():
            self.add("list", "row", t, peer=gateway, id=revision, function=host, fate=state)
        self.add("list", "told", t, peer=gateway, id=revision, fate="whole" if whole else "changes")
        self.add("list", "heard", t + 5, peer=gateway, id=revision)

    def event(self, number, t, clause="draft", fate="handled", host="h1", took=100.0):
        """Adds a request, its run on the host, and the response after `took` ms."""
        self.add(
            "client",
            "sent",
            t,
            peer="g0",
            id=number,
            event=number,
            function="f",
            clause=clause,
            mark=f"m{number}",
            a=t,
            b=2500.0,
            c=float(number),
            party="harbour",
        )
        self.launch(number, t + 1, clause, host, took - 2)
        self.add("client", "answer", t + took, peer="g0", id=number, event=number, fate=fate)

    def launch(self, number, t, clause="draft", host="h1", took=90.0, fate="handled", work=50.0):
        self.launch_ids += 1
        row = {
            "who": host,
            "peer": "g0",
            "id": self.launch_ids,
            "event": number,
            "function": "f",
            "clause": clause,
            "mark": f"m{number}",
        }
        self.add("host", "launch", t, a=2400.0, b=work, **row)
        if fate:
            if fate == "handled":
                self.add("host", "effect", t + took, **row)
            self.add("host", "outcome", t + took, fate=fate, **row)

    def find(self, what, event):
        return next(row for row in self.rows if row["what"] == what and row.get("event") == event)

    def drop(self, what, event):
        self.rows.remove(self.find(what, event))

    def audit(self, folder):
        """Records the run into the folder and audits it.

        Returns (rule, event) of each violation, and the whole report.
        """
        for end in {row["end"] for row in self.rows}:
            record = Record(folder / "traffic", end, end)
            for row in self.rows:
                if row["end"] == end:
                    record.add(**{key: value for key, value in row.items() if key != "end"})
            record.close()
        report = audit(folder)
        return [(violation["rule"], violation["event"]) for violation in report["broken"]], report
