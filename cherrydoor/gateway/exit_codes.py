"""Exit codes of `cherrydoor gateway` (docs/commands.md)."""

from typing import Final

DRAINED: Final = 0  # all requests were answered
DRAIN_TIMED_OUT: Final = 3  # requests were still unanswered at the drain timeout
BAD_CONFIGURATION: Final = 64
ADDRESS_NOT_BOUND: Final = 69  # an address could not be bound
ROUTING_BROKEN: Final = 70  # the router kept failing after several restarts
