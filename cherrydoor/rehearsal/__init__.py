"""Plays scenarios on loopback sockets: traffic, faults, records, the audit and the report."""
