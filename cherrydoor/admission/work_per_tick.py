"""How much of what clients send is handled between two reads of all other sockets.

Without these bounds, one client that sends much at once, or many that send at full speed, make a
tick as long as they like: the replies of hosts and the requests of all other clients wait for it.
The cost is that such clients are served more slowly, also while the core is idle.
"""

# On our own protocol: messages of one connection in a tick, and bytes of bodies among them after
# which no further message is handled.
MAX_MESSAGES_PER_TICK = 8
MAX_BODY_BYTES_PER_TICK = 16 * 1024
# Readiness probes answered in a tick, over all connections; requests go before them.
MAX_PROBES_PER_TICK = 8
