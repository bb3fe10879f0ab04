"""The gateway on the platform: dispatcher and router, connected by the platform's protocols.

The entry point is ``process.main``. Its ``PlatformService`` connects the client listener, the
upstream and the discovery watch.
"""
