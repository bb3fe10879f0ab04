"""Leases of fleet-wide tasks: one leaseholder per task, with a fencing token that only increases.

Start with `candidate.py` and `voter.py`, the pure state machines; `service.py` runs both over the
links to peers.
"""
