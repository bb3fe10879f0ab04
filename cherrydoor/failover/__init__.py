"""Failover: peers replicate a gateway's requests in flight and take them over, once, if it is lost.

Clients then claim the responses from another gateway. Start reading at `peer_services.py` (what a
gateway runs) and `takeover.py` (how the outcome of each request is decided).
"""
