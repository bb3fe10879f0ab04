"""Rule 1 from traffic: one final answer in time, then nothing more; and when the machine is to blame."""

from typing import Any

from cherrydoor.rehearsal.seen import SLACK, Violation

NEAR = (
    150.0  # ms around the end of a client's time in which what a process waited for a core counts
)

WOKE = (
    5000.0  # ms after a gateway wakes or is reached again within which it may learn that it is over
)


class AnswerAudit:
    """Events as clients had them answered; what was seen is the audit's."""

    sent: dict
    terms: dict
    ends: Any
    launches: Any
    down: Any
    stopped: Any
    cut_off: Any
    waits: Any
    within: Any
    add_violation: Any
    excused: Any
    starved_of_cpu: list

    def rule_1(self):
        for number, sent in self.sent.items():
            gateway, until = sent["peer"], sent["t"] + sent["b"]
            rows = self.ends.get(number, [])
            answers = [r for r in rows if r["what"] == "answer"]
            others = [r for r in rows if r["what"] not in ("answer", "started")]
            streams = any(r["what"] == "started" for r in rows)
            for extra in answers[1:]:
                self.add_violation(1, extra["t"], "a second final answer", gateway, number)
            if not answers:
                self.unanswered(number, gateway, until, others)
            elif answers[0]["t"] > until and not streams:
                self.late(number, gateway, answers[0]["t"], until)
            over = min([r["t"] for r in answers + others], default=None)
            for launch in self.launches.get(number, ()):
                if over is not None and launch["t"] > over + SLACK and launch["peer"] == gateway:
                    if self.within(self.stopped, gateway, over, SLACK):
                        self.excused["launched as its gateway woke"] += 1
                    else:
                        self.add_violation(
                            1, launch["t"], "a launch after the final answer", gateway, number
                        )
        for number, rows in self.ends.items():
            if number not in self.sent:
                self.add_violation(
                    1, rows[0]["t"], "an answer to what was never sent", rows[0]["peer"], number
                )

    def unanswered(self, number, gateway, until, others):
        end = others[0] if others else None
        if end and end["what"] == "withdrew":
            self.excused["withdrawn by the client"] += 1
        elif end and end["what"] == "cut":
            if self.within(self.down, gateway, end["t"], SLACK):
                self.excused["held by a gateway that was killed"] += 1
            elif any(
                self.within(spans, gateway, end["t"], WOKE)
                for spans in (self.stopped, self.cut_off)
            ):
                self.excused["held by a gateway whose life was over"] += 1
            else:
                self.add_violation(
                    1, end["t"], "a connection closed on an event not answered", gateway, number
                )
        elif self.within(self.stopped, gateway, until, SLACK):
            self.excused["due while its gateway stood still"] += 1
        elif self.within(self.down, gateway, until, SLACK):
            self.excused["held by a gateway that was killed"] += 1
        else:
            self.timed(until, "no final answer", gateway, number, until)

    def late(self, number, gateway, t, until):
        if self.within(self.stopped, gateway, until, SLACK):
            self.excused["answered late as its gateway stood still"] += 1
        else:
            self.timed(
                t, f"a final answer {t - until:.1f} ms late", gateway, number, until, t - until
            )

    def timed(self, t, what, gateway, number, until, late=0.0):
        """A break of rule 1 by time alone."""
        if self.terms.get("spare") and self.was_starved_of_cpu(gateway, until, late):
            self.starved_of_cpu.append(Violation(1, t, what, gateway, number))
        else:
            self.add_violation(1, t, what, gateway, number)

    def was_starved_of_cpu(self, gateway, until, late):
        """Whether the spare of a client's time, and what the answer was late beyond it, was spent without a core by
        its gateway, the clients or the hosts: then this machine broke the rule, and nothing is shown of the gateway."""
        spent = sum(
            max(
                (a for t, a in self.waits[name] if until - NEAR <= t <= until + late + NEAR),
                default=0.0,
            )
            for name in (gateway, "clients", "hosts", "")
        )
        return spent >= self.terms.get("spare", 0.0) + late
