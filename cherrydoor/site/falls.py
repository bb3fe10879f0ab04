"""Whether fewer events than before a drain are handled within target, and for how long that is borne. Pure.

What neighbours bear is not told by anybody; that they bear less than was thought shows here first. A small fall may be
chance and passes; a deep one is overload, which grows while it is waited for.
"""

FALL = 0.05             # by which the share within target may fall, against before the drain
PATIENCE = 8000.0       # ms of such a fall after which the last wave is taken back; so much less as it is deeper
WATCHED = 4000.0        # ms of events that a share is made of once all is away
BLAMED = 20000.0        # ms after the last wave for which the drain is held to be the cause of a fall


class Fall:
    """`before`: the share before the drain, None until it is known; `why`: what it has fallen to, for people."""

    def __init__(self):
        self.before, self.since, self.depth, self.why = None, None, 0.0, ""

    def seen(self, now, share):
        """Whether there is one, by the share of what was answered lately; None where that is too little to tell."""
        if share is None or self.before is None or share >= self.before - FALL:
            self.since, self.why = None, ""
            return False
        self.since = now if self.since is None else self.since
        self.depth, self.why = self.before - share, f"{share:.2f} within target, {self.before:.2f} before"
        return True

    def lasts(self, now):
        """Whether it has been borne for long enough."""
        return self.since is not None and now - self.since > PATIENCE * FALL / self.depth
