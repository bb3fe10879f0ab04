"""Seeded soaks of the platform's gateway: real processes between hosts, discovery and clients of ours.

Begin with ``command.py`` and ``run.py``; ``plan.py`` has what a seed draws, ``verdict.py`` what is judged.
"""
