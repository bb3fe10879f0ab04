"""The whole fleet in one process and in virtual time: the same gateways, stand-ins and clients, on a loop whose clock
jumps to what comes next and whose network is in memory."""
