"""Plays scenarios on loopback sockets: traffic, faults, records of both ends, the audit and the report."""
