"""Gossip membership of the fleet, and links to a few peers; off if none are configured.

Start with `member_table.py` (the rule by which statements are merged), then read `peer_links.py`
and `service.py`.
"""
