"""Gossip membership of the fleet, and links to a few peers; off where the configuration names none.

Begin with `member_table.py` (the rule by which statements are merged), then `peer_links.py` and
`service.py`.
"""
