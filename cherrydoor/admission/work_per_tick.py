"""How much of what a peer sends is handled between two reads of all other sockets.

Without these bounds, one client or host that sends much at once, or many that send at full speed,
make a tick as long as they like: the replies of hosts and the requests of all other clients wait
for it. The cost is that such peers are read more slowly, also while the core is idle.
"""

# On our own protocol: messages of one connection in a tick, and bytes of bodies among them after
# which no further message is handled.
MAX_MESSAGES_PER_TICK = 8
MAX_BODY_BYTES_PER_TICK = 16 * 1024
# The same for a connection to a host, which has many requests in flight.
MAX_HOST_MESSAGES_PER_TICK = 64
# Readiness probes answered in a tick, over all connections; requests go before them.
MAX_PROBES_PER_TICK = 8
# On the platform: replies in a row to nothing in flight on a connection to a host, since the last
# command on it, after which the connection fails. After a stall a host may still answer what was
# given up, some of it twice.
MAX_UNASKED_REPLIES = 1000
REPLIES_AT_ONCE = 64  # read before the unasked ones are checked
