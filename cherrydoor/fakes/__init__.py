"""Fakes of hosts, the function store, the endpoint list and the release feed; connection floods.

They share only the wire protocol with the gateway.
"""
