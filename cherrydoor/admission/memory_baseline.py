"""Memory use of the process, beyond what its allocator keeps of memory that is free."""

REST_MS = 1000.0  # nothing has to be held for this long before the memory counts as kept
# Use from which memory that is kept at rest counts as baseline; below it, it hinders nothing.
KEPT_ABOVE = 0.70


class MemoryBaseline:
    """Turns resident memory into the use that load shedding goes by.

    An allocator gives free memory back to the kernel only in part, so resident memory stays high
    after a crowd has gone. Load shedding that goes by it alone would go on for good, though nothing
    is held any more. What is resident at rest is therefore taken as the new baseline: the memory is
    used again for later clients, and use counts from there. The cost is that less memory is left
    between the baseline and the limit, so that load shedding begins sooner in the next crowd.

    Invariant: `base` is at least `initial_base`.

    Attributes:
        initial_base: Resident memory of the process without clients, as a fraction of its limit.
        base: Resident memory from which use counts, as a fraction of the limit.
    """

    def __init__(self, initial_base: float = 0.0) -> None:
        self.initial_base = initial_base
        self.base = initial_base
        self._at_rest_since_ms: float | None = None

    def use(self, now: float, resident: float, is_at_rest: bool) -> float:
        """Returns the use of the memory that is left beyond the baseline, from 0.

        Args:
            now: Time in ms.
            resident: Resident memory as a fraction of the limit.
            is_at_rest: Whether hardly anything is held for clients.
        """
        self.base = max(self.initial_base, min(self.base, resident))
        if not is_at_rest:
            self._at_rest_since_ms = None
        elif self._at_rest_since_ms is None:
            self._at_rest_since_ms = now
        elif now - self._at_rest_since_ms >= REST_MS and self._use_of(resident) >= KEPT_ABOVE:
            self.base = resident
        return self._use_of(resident)

    def _use_of(self, resident: float) -> float:
        beyond_base = max(0.0, resident - self.base)
        left = 1.0 - self.base
        if left <= 0.0:
            return 1.0 if beyond_base else 0.0
        return beyond_base / left
