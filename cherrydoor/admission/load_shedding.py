"""Load shedding: in steps, rejects new unknown clients as the process nears its limits."""

STEP_UP_AT = (0.80, 0.90, 0.97)  # use of the scarcest resource from which steps 1, 2 and 3 apply
STEP_DOWN_BELOW = (0.70, 0.80, 0.90)  # use below which steps 1, 2 and 3 may end
MIN_DWELL_MS = 1000.0  # use has to be low for this long before a step ends
MAX_DWELL_MS = 16000.0  # while use swings about a threshold, the dwell doubles up to this


class LoadShedding:
    """The load-shedding step, set by the use of the scarcest resource.

    Step 0 sheds nothing. Step 1 shortens the hello timeout, step 2 gives new unknown clients no
    slot, and step 3 rejects them before the handshake.

    The step rises immediately. It falls by one at a time, after use has been low for `dwell_ms`.
    The dwell doubles each time that the step has to rise again soon after it fell, which prevents
    flapping. The cost falls on unknown clients alone, which are kept out for longer.

    Invariant: `step` is 0 to 3, and `dwell_ms` lies between MIN_DWELL_MS and MAX_DWELL_MS.
    """

    def __init__(self, now: float) -> None:
        self.step = 0
        self.calm_since_ms = now
        self.dwell_ms = MIN_DWELL_MS
        self.stepped_down_at_ms = -1e18

    def update(self, now: float, use: float) -> None:
        """Sets the step from the use of the scarcest resource, from 0 to 1."""
        target_step = sum(use >= threshold for threshold in STEP_UP_AT)
        if target_step > self.step:
            self._step_up(now, target_step)
        elif self.step and use >= STEP_DOWN_BELOW[self.step - 1]:
            self.calm_since_ms = now
        elif self.step and now - self.calm_since_ms >= self.dwell_ms:
            self.step -= 1
            self.calm_since_ms = now
            self.stepped_down_at_ms = now
        elif not self.step and now - self.stepped_down_at_ms > 8 * self.dwell_ms:
            self.dwell_ms = max(MIN_DWELL_MS, self.dwell_ms / 2)
            self.stepped_down_at_ms = now

    def _step_up(self, now: float, step: int) -> None:
        """Raises the step; the dwell doubles if the step last fell only a short time ago."""
        if now - self.stepped_down_at_ms < 4 * self.dwell_ms:
            self.dwell_ms = min(MAX_DWELL_MS, 2 * self.dwell_ms)
        self.step = step
        self.calm_since_ms = now
