"""How near the process is to its limits, in steps by which new unknown clients are shed."""

STEP_UP_AT = (0.80, 0.90, 0.97)  # use of the scarcest resource from which step 1, 2 and 3 hold
STEP_DOWN_BELOW = (0.70, 0.80, 0.90)  # use below which steps 1, 2 and 3 may end
SHORTEST_DWELL_MS = 1000.0  # calm for so long before a step ends
LONGEST_DWELL_MS = 16000.0  # the dwell doubles up to this where use swings


class LoadShedding:
    """The step of load shedding, by the use of the scarcest resource.

    0 calm; 1 shorter time for a hello; 2 no slots for new unknown clients; 3 not even a handshake.

    Up at once; down one step at a time, when it has been calm for a while that doubles each time it
    has to go up again soon after. The doubling guards against flapping. It harms unknown clients
    only, by keeping them out for longer.

    Invariant: `step` is 0 to 3, and `dwell_ms` lies between SHORTEST_DWELL_MS and LONGEST_DWELL_MS.
    """

    def __init__(self, now: float) -> None:
        self.step = 0
        self.calm_since_ms = now
        self.dwell_ms = SHORTEST_DWELL_MS
        self.stepped_down_at_ms = -1e18

    def update(self, now: float, use: float) -> None:
        """Takes in the use of the scarcest resource, from 0 to 1."""
        wanted = sum(use >= edge for edge in STEP_UP_AT)
        if wanted > self.step:
            self._step_up(now, wanted)
        elif self.step and use >= STEP_DOWN_BELOW[self.step - 1]:
            self.calm_since_ms = now
        elif self.step and now - self.calm_since_ms >= self.dwell_ms:
            self.step -= 1
            self.calm_since_ms = now
            self.stepped_down_at_ms = now
        elif not self.step and now - self.stepped_down_at_ms > 8 * self.dwell_ms:
            self.dwell_ms = max(SHORTEST_DWELL_MS, self.dwell_ms / 2)
            self.stepped_down_at_ms = now

    def _step_up(self, now: float, step: int) -> None:
        """Goes up at once; the dwell doubles where the last step down was a mistake."""
        if now - self.stepped_down_at_ms < 4 * self.dwell_ms:
            self.dwell_ms = min(LONGEST_DWELL_MS, 2 * self.dwell_ms)
        self.step = step
        self.calm_since_ms = now
