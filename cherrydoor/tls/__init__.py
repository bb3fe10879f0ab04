"""Certificates, authorities, revocation lists and token keys, replaced while the gateway serves.

Begin at credential_store.py, which decides what is in service; credential_manager.py applies it.
"""
