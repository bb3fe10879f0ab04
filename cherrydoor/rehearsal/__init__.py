"""Scripted days on loopback sockets: traffic, troubles, capture at the far ends, the audit and the report."""
