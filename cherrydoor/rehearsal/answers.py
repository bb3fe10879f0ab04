"""Checks rule 1 on recorded traffic: each request gets one final answer in time, and nothing follows that answer.

An answer that is late because the machine had no core to spare is kept apart from the violations.
"""

from typing import Any

from cherrydoor.rehearsal.seen import SLACK_MS, Violation

# Waits for a core can explain a late answer if they were recorded from this long before the end of the client's time to
# this long after the answer came.
CORE_WAIT_WINDOW_MS = 150.0

# A gateway that was stopped or cut off may take this long, after it runs or is reachable again, to learn that its
# incarnation has ended.
INCARNATION_END_NOTICE_MS = 5000.0


class AnswerAudit:
    """Checks the answers that clients recorded; `Audit` sets the attributes."""

    sent: dict
    terms: dict
    client_results: Any
    launches: Any
    killed_intervals: Any
    stopped_intervals: Any
    cut_off_intervals: Any
    core_waits: Any
    in_interval: Any
    add_violation: Any
    excused: Any
    starved_of_cpu: list

    def rule_1(self):
        """Check that each request got one final answer in time and was not launched afterwards."""
        for request_id, sent in self.sent.items():
            gateway, until = sent["peer"], sent["t"] + sent["b"]
            rows = self.client_results.get(request_id, [])
            answers = [r for r in rows if r["what"] == "answer"]
            others = [r for r in rows if r["what"] not in ("answer", "started")]
            streams = any(r["what"] == "started" for r in rows)
            for extra in answers[1:]:
                self.add_violation(1, extra["t"], "second final answer", gateway, request_id)
            if not answers:
                self.check_unanswered(request_id, gateway, until, others)
            elif answers[0]["t"] > until and not streams:
                self.check_late(request_id, gateway, answers[0]["t"], until)
            ended = min([r["t"] for r in answers + others], default=None)
            for launch in self.launches.get(request_id, ()):
                if (
                    ended is not None
                    and launch["t"] > ended + SLACK_MS
                    and launch["peer"] == gateway
                ):
                    if self.in_interval(self.stopped_intervals, gateway, ended, SLACK_MS):
                        self.excused["launched as its gateway woke"] += 1
                    else:
                        self.add_violation(
                            1, launch["t"], "launch after the final answer", gateway, request_id
                        )
        for request_id, rows in self.client_results.items():
            if request_id not in self.sent:
                self.add_violation(
                    1,
                    rows[0]["t"],
                    "answer to a request that was never sent",
                    rows[0]["peer"],
                    request_id,
                )

    def check_unanswered(self, request_id, gateway, until, others):
        """Report a request without an answer, unless its client withdrew it or a fault of its gateway explains it.

        Args:
            request_id: Id of the request.
            gateway: Name of the gateway that it was sent to.
            until: When the client's time ended, in ms.
            others: What the client recorded in place of an answer, in order of time.
        """
        end = others[0] if others else None
        if end and end["what"] == "withdrew":
            self.excused["withdrawn by the client"] += 1
        elif end and end["what"] == "cut":
            if self.in_interval(self.killed_intervals, gateway, end["t"], SLACK_MS):
                self.excused["held by a gateway that was killed"] += 1
            elif any(
                self.in_interval(intervals, gateway, end["t"], INCARNATION_END_NOTICE_MS)
                for intervals in (self.stopped_intervals, self.cut_off_intervals)
            ):
                self.excused["held by a gateway whose life was over"] += 1
            else:
                self.add_violation(
                    1,
                    end["t"],
                    "connection closed before the request was answered",
                    gateway,
                    request_id,
                )
        elif self.in_interval(self.stopped_intervals, gateway, until, SLACK_MS):
            self.excused["due while its gateway stood still"] += 1
        elif self.in_interval(self.killed_intervals, gateway, until, SLACK_MS):
            self.excused["held by a gateway that was killed"] += 1
        else:
            self.add_time_violation(until, "no final answer", gateway, request_id, until)

    def check_late(self, request_id, gateway, t, until):
        """Report an answer that came after the client's time, unless its gateway was stopped when the time ended."""
        if self.in_interval(self.stopped_intervals, gateway, until, SLACK_MS):
            self.excused["answered late as its gateway stood still"] += 1
        else:
            self.add_time_violation(
                t, f"final answer {t - until:.1f} ms late", gateway, request_id, until, t - until
            )

    def add_time_violation(self, t, description, gateway, request_id, until, late_ms=0.0):
        """Add a violation of rule 1 that consists in time alone.

        If a lack of CPU explains it, it is added to `starved_of_cpu` and not to `violations`.
        """
        if self.terms.get("spare") and self.was_starved_of_cpu(gateway, until, late_ms):
            self.starved_of_cpu.append(Violation(1, t, description, gateway, request_id))
        else:
            self.add_violation(1, t, description, gateway, request_id)

    def was_starved_of_cpu(self, gateway, until, late_ms):
        """Return whether waits for a core account for the late or missing answer.

        The gateway keeps a spare part of the client's time for the answer's way back. If its process, the clients and
        the hosts together waited without a core for at least that spare part plus the lateness, the machine broke the
        rule, and the run says nothing about the gateway.
        """
        waited_ms = sum(
            max(
                (
                    a
                    for t, a in self.core_waits[name]
                    if until - CORE_WAIT_WINDOW_MS <= t <= until + late_ms + CORE_WAIT_WINDOW_MS
                ),
                default=0.0,
            )
            for name in (gateway, "clients", "hosts", "")
        )
        return waited_ms >= self.terms.get("spare", 0.0) + late_ms
