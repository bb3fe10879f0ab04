"""Finds the causes of late requests in scenarios with hundreds of gateways.

A tool for developers; the gateway does not use it.
"""
