"""Runs many gateway instances for the simulator: reads a batch of messages, writes one reply. Instances share no state."""

import gc
import sys

from cherrydoor.adapter import wire
from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing


class Adapter:
    """The instances by name, and the number of the current input line for error messages."""

    def __init__(self, source):
        self.lines = iter(source)
        self.line_number = 0
        self.routers, self.settings_by_instance = {}, {}

    def next_line(self):
        text = next(self.lines, None)
        if text is None:
            return None
        self.line_number += 1
        if not text.endswith("\n"):
            raise wire.InvalidLineError("the last line is incomplete")
        return text[:-1]

    def run_batch(self, first_line):
        """Runs one batch that begins with this line; returns the reply's text."""
        head = first_line.split(" ")
        if head[0] != "batch" or len(head) < 2:
            raise wire.InvalidLineError(
                f"expected 'batch' and the clock, found {first_line[:40]!r}"
            )
        now_ms, reply = wire.read_time_ms(head[1]), []
        while (text := self.next_line()) != "your_turn":
            if text is None:
                raise wire.InvalidLineError("the input ends within a batch")
            self.handle_message(now_ms, text, reply)
        reply.append("ready\n")
        return "".join(reply)

    def handle_message(self, now_ms, text, reply):
        """Handles one message and appends the lines of its actions to the reply."""
        name, _, rest = text.partition(" ")
        instance, _, rest = rest.partition(" ")
        if not instance:
            raise wire.InvalidLineError(f"{name!r} without the name of an instance")
        if name == "new_instance":
            seed, _, settings_text = rest.partition(" ")
            settings = wire.read_settings(int(seed), settings_text)
            self.routers[instance], self.settings_by_instance[instance] = None, settings
            self.run_decision(instance, reply, lambda: self.start(instance, now_ms, settings))
            return
        if instance not in self.routers:
            raise wire.InvalidLineError(f"{name!r} for {instance!r}, which has not been started")
        if name == "detach":
            del self.routers[instance], self.settings_by_instance[instance]
            return
        values = rest.split(" ")
        if name == "peers_known":
            message = self.read_endpoint_update(values)
        elif name == "neighbour_says":
            if len(values) < 2:
                raise wire.InvalidLineError("'neighbour_says' has too few values")
            int(values[0])
            return
        elif name in wire.READERS:
            min_values, reader = wire.READERS[name]
            if len(values) < min_values or "" in values:
                raise wire.InvalidLineError(f"{name!r} has too few values")
            message = (
                reader(values, self.settings_by_instance[instance])
                if reader is wire.done
                else reader(values)
            )
        else:
            raise wire.InvalidLineError(f"unknown message {name!r}")
        self.run_decision(instance, reply, lambda: self.routers[instance].take(now_ms, message))

    def start(self, instance, now_ms, settings):
        """Creates the router of an instance; returns its first actions."""
        self.routers[instance] = Router(settings)
        return self.routers[instance].start(now_ms)

    def read_endpoint_update(self, values):
        """Reads the entries of an endpoint list from the lines that follow its first line."""
        if len(values) < 3:
            raise wire.InvalidLineError("'peers_known' has too few values")
        int(values[0])
        kind, endpoints = wire.look_up(wire.UPDATE_KINDS, values[1]), []
        for _ in range(0 if values[2] == "-" else int(values[2])):
            text = self.next_line()
            if text is None:
                raise wire.InvalidLineError("the input ends within an endpoint list")
            endpoints.append(wire.read_endpoint(text))
        return routing.EndpointsUpdated(kind, tuple(endpoints))

    def run_decision(self, instance, reply, decision):
        """Appends the lines of a decision's actions to the reply.

        An exception in the decision is reported on the wire as a crash of the instance: the input line was valid.
        """
        try:
            reply.extend([wire.line(instance, action) for action in decision()])
        except Exception as error:
            text = f"{type(error).__name__}: {error}".replace("\n", " ")
            reply.append(f"crash {instance} {text}\n")


def main(source, sink, errors):
    """Runs until the input ends; returns 0, or 2 after an invalid line, which is reported on `errors`."""
    adapter = Adapter(source)
    try:
        while (text := adapter.next_line()) is not None:
            sink.write(adapter.run_batch(text))
            sink.flush()
    except (
        wire.InvalidLineError,
        ValueError,
        KeyError,
        IndexError,
        TypeError,
        AttributeError,
    ) as error:
        problem = (
            str(error)
            if isinstance(error, wire.InvalidLineError)
            else f"{type(error).__name__}: {error}"
        )
        print(f"cherrydoor adapter: line {adapter.line_number}: {problem}", file=errors)
        return 2
    return 0


if __name__ == "__main__":
    gc.freeze()
    sys.stdin.reconfigure(encoding="utf-8")
    sys.exit(main(sys.stdin, sys.stdout, sys.stderr))
