"""Names of admission for callers that still import them from here, not from their modules."""

from cherrydoor.admission.connections import AdmittedConnection
from cherrydoor.admission.descriptors import divide_descriptors, platform_slots
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.admission.messages import (
    ClientIdentified,
    ConnectionAccepted,
    ConnectionClosed,
    ReadQuotaExceeded,
    UsageMeasured,
)

__all__ = [
    "AdmittedConnection",
    "ClientIdentified",
    "ClientLimits",
    "ConnectionAccepted",
    "ConnectionClosed",
    "ReadQuotaExceeded",
    "UsageMeasured",
    "divide_descriptors",
    "platform_slots",
]
