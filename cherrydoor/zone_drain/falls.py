"""Whether fewer events than before a drain are handled within target, and for how long that is borne. Pure.

What neighbours bear is not told by anybody; that they bear less than was thought shows here first. A small fall may be
chance and passes; a deep one is overload, which grows while it is waited for.
"""

FALL = 0.05  # by which the share within target may fall, against before the drain ...
NARROW = 0.02  # ... and where neighbours are not known to bear more: overload feeds itself once it has begun
PATIENCE = 4000.0  # ms of such a fall after which the last wave is taken back; so much less as it is deeper ...
LEAST = 1000.0  # ... but so long at the least
HEALS = 4000.0  # ms after a step back in which it has no effect yet: what waits at hosts is served or given up
WATCHED = 4000.0  # ms of events that a share is made of once all is away
BLAMED = 20000.0  # ms after the last wave for which the drain is held to be the cause of a fall


class Fall:
    """`before`: the share before the drain, None until it is known; `why`: what it has fallen to, for people."""

    def __init__(self):
        self.before, self.since, self.depth, self.why = None, None, 0.0, ""

    def seen(self, now, share, events=1e9, least=FALL):
        """Whether there is one, by the share of what was answered lately, None where that is too little to tell, and
        how many events that was: what may be chance among so few is none."""
        chance = 2 * (self.before * (1 - self.before) / events) ** 0.5 if self.before else 0.0
        if share is None or self.before is None or share >= self.before - least - chance:
            self.since, self.why = None, ""
            return False
        self.since = now if self.since is None else self.since
        self.depth, self.why = (
            self.before - share,
            f"{share:.2f} within target, {self.before:.2f} before",
        )
        return True

    def lasts(self, now):
        """Whether it has been borne for long enough."""
        return self.since is not None and now - self.since > max(
            LEAST, PATIENCE * FALL / max(FALL, self.depth)
        )
