"""Certificates, authorities, revocation lists and token keys, replaced while the gateway serves.

Start reading at credential_store.py, which decides what is in service. credential_manager.py
applies its decisions.
"""
