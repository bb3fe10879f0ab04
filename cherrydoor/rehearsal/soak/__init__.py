"""Seeded soaks of the platform's gateway: real processes between hosts, discovery and clients of ours.

Begin with ``run.py``; ``plan.py`` has what a seed draws, ``verdict.py`` what is judged.
"""
