"""The gateway on the platform: the dispatcher and router behind the platform's own wires.

Begin with ``process.main``; its ``PlatformService`` joins client listener, upstream and watch.
"""
