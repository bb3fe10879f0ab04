"""Seeded soaks of the platform's gateway: real processes, simulated hosts, discovery and clients.

Begin with ``command.py`` and ``run.py``. ``plan.py`` draws a run from its seed, and ``verdict.py``
checks the rules on what was recorded.
"""
