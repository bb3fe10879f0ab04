"""Leases of fleet-wide tasks: one leaseholder a task, under a fencing token that only rises.

Begin with `candidate.py` and `voter.py`, the pure state machines; `service.py` runs both over the
links to peers.
"""
