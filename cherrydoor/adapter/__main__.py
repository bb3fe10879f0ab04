"""Hosts many gateways on the wire: one batch in, one reply out. Instances share nothing."""

import gc
import sys

from cherrydoor.adapter import wire
from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing


class Stand:
    """The instances by name, and the place in the input for messages about bad lines."""

    def __init__(self, source):
        self.lines = iter(source)
        self.at = 0
        self.gateways, self.leases = {}, {}

    def next_line(self):
        text = next(self.lines, None)
        if text is None:
            return None
        self.at += 1
        if not text.endswith("\n"):
            raise wire.BadLine("the line is cut short")
        return text[:-1]

    def batch(self, first):
        """Reads one batch and returns the reply's lines."""
        head = first.split(" ")
        if head[0] != "batch" or len(head) < 2:
            raise wire.BadLine(f"'batch' and the clock expected, not {first[:40]!r}")
        now, out = wire.ms(head[1]), []
        while (text := self.next_line()) != "your_turn":
            if text is None:
                raise wire.BadLine("the input ends within a batch")
            self.event(now, text, out)
        out.append("ready\n")
        return "".join(out)

    def event(self, now, text, out):
        name, _, rest = text.partition(" ")
        who, _, rest = rest.partition(" ")
        if not who:
            raise wire.BadLine(f"{name!r} names no instance")
        if name == "new_instance":
            seed, _, settings = rest.partition(" ")
            lease = wire.lease(int(seed), settings)
            self.gateways[who], self.leases[who] = None, lease
            self.decide(who, out, lambda: self.start(who, now, lease))
            return
        if who not in self.gateways:
            raise wire.BadLine(f"{name!r} for {who!r}, which has not started")
        if name == "detach":
            del self.gateways[who], self.leases[who]
            return
        values = rest.split(" ")
        if name == "peers_known":
            note = self.listing(values)
        elif name == "neighbour_says":
            if len(values) < 2:
                raise wire.BadLine("'neighbour_says' is too short")
            int(values[0])
            return
        elif name in wire.READERS:
            least, reader = wire.READERS[name]
            if len(values) < least or "" in values:
                raise wire.BadLine(f"{name!r} is too short")
            note = reader(values, self.leases[who]) if reader is wire.done else reader(values)
        else:
            raise wire.BadLine(f"unknown message {name!r}")
        self.decide(who, out, lambda: self.gateways[who].take(now, note))

    def start(self, who, now, lease):
        self.gateways[who] = Router(lease)
        return self.gateways[who].start(now)

    def listing(self, values):
        if len(values) < 3:
            raise wire.BadLine("'peers_known' is too short")
        int(values[0])
        how, rows = wire.word(wire.LISTS, values[1]), []
        for _ in range(0 if values[2] == "-" else int(values[2])):
            text = self.next_line()
            if text is None:
                raise wire.BadLine("the input ends within a list")
            rows.append(wire.row(text))
        return routing.EndpointsUpdated(how, tuple(rows))

    def decide(self, who, out, decision):
        """A failed decision is told on the wire; it is no fault of the line."""
        try:
            out.extend([wire.line(who, action) for action in decision()])
        except Exception as error:
            text = f"{type(error).__name__}: {error}".replace("\n", " ")
            out.append(f"crash {who} {text}\n")


def main(source, sink, errors):
    stand = Stand(source)
    try:
        while (text := stand.next_line()) is not None:
            sink.write(stand.batch(text))
            sink.flush()
    except (wire.BadLine, ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        what = str(error) if isinstance(error, wire.BadLine) else f"{type(error).__name__}: {error}"
        print(f"cherrydoor adapter: line {stand.at}: {what}", file=errors)
        return 2
    return 0


if __name__ == "__main__":
    gc.freeze()
    sys.stdin.reconfigure(encoding="utf-8")
    sys.exit(main(sys.stdin, sys.stdout, sys.stderr))
