"""What the gateways of a fleet do together, behind one port of a gateway's shell: links, tenures, custody.

Without a door for peers in its lease a gateway has none of this, and none of it is imported.
"""


def join(service, incarnation=0):
    """The gateway's fellows, not yet started; None where it is alone. life: a number above that of an earlier start of
    the same process."""
    if not service.config.peers["door"]:
        return None
    from cherrydoor.failover.peer_services import PeerServices

    return PeerServices(service, incarnation)
