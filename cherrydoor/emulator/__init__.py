"""Emulates a whole fleet in one process and in virtual time.

Gateways, hosts and clients run the same code as in a rehearsal, on an event loop whose clock jumps
to the next timer and whose network is in memory.
"""
