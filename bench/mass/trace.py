"""Runs the platform's gateway with a trace line for each request: `python -m bench.mass.trace`.

The line is written to standard error when the request is closed. It is a JSON list: ["event",
time of arrival in Unix ms, request class, function, CRC-32 of the body, client timeout in ms,
latency objective in ms, outcome, ms until the response, choices, attempts].

A choice of the routing module: [ms since arrival, chosen host or "", predicted response time in ms,
whether a copy was known to be loaded there, whether the tenant was overloaded, whether the tenant
was over its quota].

An attempt: [ms since arrival, host, duration in ms, outcome, copy, concurrency, whether a copy was
known to be loaded, the host's warm-up level, ms since the host's last response to this gateway or
-1, attempts in flight there].
"""

import json
import sys
from zlib import crc32

from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.platform import process
from cherrydoor.routing import Router
from cherrydoor.routing.request_lifecycle import RequestLifecycle


class TracedLifecycle(RequestLifecycle):
    """The request lifecycle, with choices and attempts recorded by request.

    Attributes:
        choices: Request number -> for each choice: time, host or "", predicted ms, whether a copy
            was known to be loaded there, whether the tenant was overloaded, whether it was over its
            quota.
        sends: Request number -> for each attempt: whether a copy was known to be loaded, warm-up
            level, ms since the last response of the host or -1, attempts in flight there.
    """

    def __init__(self, *parts):
        super().__init__(*parts)
        self.choices = {}
        self.sends = {}

    def route(self, request):
        """Routes the request and records the choice."""
        choose = self._chooser.choose

        def choose_and_record(request):
            choice = choose(request)
            self.record_choice(request, choice.host)
            return choice

        self._chooser.choose = choose_and_record
        try:
            super().route(request)
        finally:
            self._chooser.choose = choose

    def record_choice(self, request, host):
        """Records what was known at a choice."""
        now = self._context.now
        known = ["", 0.0, False]
        if host is not None:
            predicted_ms = min(host.load.predicted_response_ms(request.function), 1e6)
            known = [host.id, round(predicted_ms, 1), host.holds_copy(request.function, now)]
        tenant = request.tenant
        choice = [now, *known, tenant.is_overloaded(now), tenant.is_over_quota(now)]
        self.choices.setdefault(request.id, []).append(choice)

    def start_attempt(self, request, host):
        """Starts the attempt and records what was known of its host."""
        now = self._context.now
        last_response_ms = host.health.last_response_ms
        silent_ms = now - last_response_ms if last_response_ms else -1.0
        before = len(request.attempts)
        in_flight = len(host.in_flight)
        super().start_attempt(request, host)
        if len(request.attempts) > before:
            loaded = request.attempts[-1].copy_was_loaded
            level = round(host.slow_start.level(now), 2)
            known = [loaded, level, round(silent_ms, 1), in_flight]
            self.sends.setdefault(request.id, []).append(known)


class TracedRouter(Router):
    """The router with the traced request lifecycle."""

    def __init__(self, settings):
        super().__init__(settings, lifecycle=TracedLifecycle)


class TracedDispatcher(Dispatcher):
    """The dispatcher; writes the trace line when a request is removed."""

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
        router, number, request = self.router, pending.number, pending.request
        outcomes, sends = (
            self.__dict__.get("outcomes_by", {}).pop(number, {}),
            router.lifecycle.sends.pop(number, []),
        )
        attempts = []
        for sent in pending.attempts:
            host, duration_ms, outcome, copy, concurrency = outcomes.get(
                sent.index, ("", 0.0, sent.outcome, 0, 0)
            )
            known = sends[sent.index] if sent.index < len(sends) else [False, 1.0, -1.0, 0]
            attempts.append(
                [
                    round(sent.at - pending.accepted_at_ms, 1),
                    host,
                    round(duration_ms, 1),
                    outcome,
                    copy,
                    concurrency,
                    *known,
                ]
            )
        choices = [
            [round(choice[0] - pending.accepted_at_ms, 1), *choice[1:]]
            for choice in router.lifecycle.choices.pop(number, [])
        ]
        outcome, duration_ms = self.ends_by.pop(number)
        line = [
            "event",
            round(pending.accepted_at_ms, 1),
            request.request_class,
            request.function,
            crc32(request.body),
            round(pending.deadline_ms - pending.accepted_at_ms, 1),
            router.settings.request_classes[request.request_class].latency_objective_ms,
            outcome or "left",
            duration_ms,
            choices,
            attempts,
        ]
        print(json.dumps(line, separators=(",", ":")), file=sys.stderr)


def main():
    process.Router, process.Dispatcher = TracedRouter, TracedDispatcher
    return process.main()


if __name__ == "__main__":
    sys.exit(main())
