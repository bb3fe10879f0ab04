"""`python -m bench.mass.trace`: the platform's gateway, with a line on standard error for each event that is over.

The line, a JSON list: ["event", at, clause, function, mark of the body, ms the client waits, target, fate, ms to the
answer, routes, launches]. A route is what the module decided then: [ms since the event came, host chosen or "", wait it
was predicted, whether a copy was known to stand there, whether its customer was in overload, whether the event yields].
A launch: [ms since the event came, host, ms out, fate, copy, crowd, whether a copy was known to stand, the host's
level, ms since the host's last answer here or -1, launches out there]. Times of the line itself are Unix ms.
"""

import json
import sys
from zlib import crc32

from cherrydoor.gateway.dispatcher import Desk
from cherrydoor.platform import process
from cherrydoor.routing import Router


class Traced(Router):
    """The module, whose choices are noted beside it."""

    def __init__(self, lease):
        super().__init__(lease)
        self.routes, self.sends = {}, {}

    def route(self, evt):
        choose = self.zone.choose

        def chosen(one):
            host, open_at = choose(one)
            note = [
                self.now,
                "",
                0.0,
                False,
                one.customer.overloaded(self.now),
                one.customer.beyond(self.now),
            ]
            if host is not None:
                note[1:4] = (
                    host.id,
                    round(min(host.wait(one.func), 1e6), 1),
                    host.holds(one.func, self.now),
                )
            self.routes.setdefault(one.id, []).append(note)
            return host, open_at

        self.zone.choose = chosen
        try:
            super().route(evt)
        finally:
            self.zone.choose = choose

    def launch(self, evt, host):
        heard = self.now - host.heard if host.heard else -1.0
        before = len(evt.tries)
        out = len(host.out)
        super().launch(evt, host)
        if len(evt.tries) > before:
            self.sends.setdefault(evt.id, []).append(
                [evt.tries[-1].stood, round(host.level(self.now), 2), round(heard, 1), out]
            )


class TracedDesk(Desk):
    """The desk, which writes the line as an event is forgotten."""

    def hold(self, client, event, until):
        taken = super().hold(client, event, until)
        self.__dict__.setdefault("ends_by", {})[taken.number] = ["", 0.0]
        return taken

    def answer(self, taken, answer):
        self.ends_by[taken.number] = [answer.outcome, round(self.now - taken.at, 1)]
        super().answer(taken, answer)

    def landed(self, sent, fate, took, name, message):
        self.__dict__.setdefault("outcomes_by", {}).setdefault(sent.taken.number, {})[
            sent.index
        ] = (
            name,
            took,
            fate,
            message.copy if message else 0,
            message.concurrency if message else 0,
        )
        super().landed(sent, fate, took, name, message)

    def forget(self, taken):
        if taken.over and not taken.out and taken.number in self.taken:
            self.write(taken)
        super().forget(taken)

    def write(self, taken):
        gate, number, event = self.gate, taken.number, taken.event
        told, sends = (
            self.__dict__.get("outcomes_by", {}).pop(number, {}),
            gate.sends.pop(number, []),
        )
        launches = []
        for sent in taken.launches:
            name, took, fate, copy, crowd = told.get(sent.index, ("", 0.0, sent.outcome, 0, 0))
            knew = sends[sent.index] if sent.index < len(sends) else [False, 1.0, -1.0, 0]
            launches.append(
                [round(sent.at - taken.at, 1), name, round(took, 1), fate, copy, crowd, *knew]
            )
        routes = [[round(r[0] - taken.at, 1), *r[1:]] for r in gate.routes.pop(number, [])]
        fate, took = self.ends_by.pop(number)
        line = [
            "event",
            round(taken.at, 1),
            event.request_class,
            event.function,
            crc32(event.body),
            round(taken.until - taken.at, 1),
            gate.settings.request_classes[event.request_class].latency_objective_ms,
            fate or "left",
            took,
            routes,
            launches,
        ]
        print(json.dumps(line, separators=(",", ":")), file=sys.stderr)


def main():
    process.Gateway, process.Desk = Traced, TracedDesk
    return process.main()


if __name__ == "__main__":
    sys.exit(main())
