"""Orders that tell backend servers to load model versions or to change roles."""

from flamingoshelf.orders._client import HttpOrderClient, ObservedServer, OrderClient, ServerOrder
from flamingoshelf.orders._desired import DesiredServer, desired_servers
from flamingoshelf.orders._permits import LoadPermits
from flamingoshelf.orders._reconciler import OrderReconciler

__all__ = [
    "DesiredServer",
    "HttpOrderClient",
    "LoadPermits",
    "ObservedServer",
    "OrderClient",
    "OrderReconciler",
    "ServerOrder",
    "desired_servers",
]
