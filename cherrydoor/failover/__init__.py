"""Failover: requests in flight outlive their gateway, are taken over once, responses claimed.

Begin at `peer_services.py` (what a gateway runs) and `takeover.py` (what is decided for a request).
"""
