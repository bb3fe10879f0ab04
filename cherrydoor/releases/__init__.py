"""Canary rollouts: a new version of a function gets a growing share of traffic while it does well.

Start reading at `controller.py`, which makes the decisions; `feed.py` does the I/O around it.
"""
