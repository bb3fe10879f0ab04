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

from cherrydoor.gateway.dispatcher import Dispatcher
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


class TracedDesk(Dispatcher):
    """The desk, which writes the line as an event is forgotten."""

    def hold(self, client, event, until):
        pending = super().hold(client, event, until)
        self.__dict__.setdefault("ends_by", {})[pending.number] = ["", 0.0]
        return pending

    def answer(self, pending, answer):
        self.ends_by[pending.number] = [answer.outcome, round(self.now - pending.accepted_at_ms, 1)]
        super().answer(pending, answer)

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

    def forget(self, pending):
        if pending.finished and not pending.out and pending.number in self.taken:
            self.write(pending)
        super().forget(pending)

    def write(self, pending):
        gate, number, event = self.gate, pending.number, pending.request
        told, sends = (
            self.__dict__.get("outcomes_by", {}).pop(number, {}),
            gate.sends.pop(number, []),
        )
        launches = []
        for sent in pending.attempts:
            name, took, fate, copy, crowd = told.get(sent.index, ("", 0.0, sent.outcome, 0, 0))
            knew = sends[sent.index] if sent.index < len(sends) else [False, 1.0, -1.0, 0]
            launches.append(
                [
                    round(sent.at - pending.accepted_at_ms, 1),
                    name,
                    round(took, 1),
                    fate,
                    copy,
                    crowd,
                    *knew,
                ]
            )
        routes = [
            [round(r[0] - pending.accepted_at_ms, 1), *r[1:]] for r in gate.routes.pop(number, [])
        ]
        fate, took = self.ends_by.pop(number)
        line = [
            "event",
            round(pending.accepted_at_ms, 1),
            event.request_class,
            event.function,
            crc32(event.body),
            round(pending.deadline_ms - pending.accepted_at_ms, 1),
            gate.settings.request_classes[event.request_class].latency_objective_ms,
            fate or "left",
            took,
            routes,
            launches,
        ]
        print(json.dumps(line, separators=(",", ":")), file=sys.stderr)


def main():
    process.Gateway, process.Dispatcher = Traced, TracedDesk
    return process.main()


if __name__ == "__main__":
    sys.exit(main())
