"""Where the late events of a day of hundreds of gateways come from: a developers' tool, no part
of the gateway.
"""
