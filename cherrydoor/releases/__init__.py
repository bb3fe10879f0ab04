"""Canary rollouts: a new version of a function gets a growing traffic share while it proves itself.

Begin with `controller.py`, which decides; `feed.py` is the I/O around it.
"""
