"""Reasons for rejecting or closing connections, and the retry-after times sent with them.

The texts are sent to clients and listed in the operators' handbook: they are part of the interface.
"""

CONNECTS_TOO_OFTEN = "this client connects too often"
TOO_MANY_NEW_FROM_NETWORK = "too many new connections from this network"
TOO_MANY_FROM_NETWORK = "too many connections from this network"
NO_NEW_CLIENTS = "no new clients for the moment"
NO_SLOT_FREE = "no place is free"
CLIENT_LIMIT_REACHED = "as many connections are open as this client may have"
PENDING_EVICTED = "others need the porch"
IDLE_EVICTED = "idle, and others need the place"
NO_HELLO = "no hello in time"
UNFINISHED_FRAME = "a frame was not finished in time"
UNFINISHED_BYTES = "too many bytes are unfinished"
NO_DESCRIPTORS = "descriptors have run out"

RETRY_PENDING_EVICTED_MS = 250.0  # places for pending connections become free quickly
RETRY_NO_SLOT_MS = 500.0  # minimum; load shedding may last longer
RETRY_CLOSED_MS = 1000.0
RETRY_NO_DESCRIPTORS_MS = 2000.0  # longer than any pause in accepting connections
