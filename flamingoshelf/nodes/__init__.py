"""Messaging between nodes: CBOR messages over authenticated websockets."""

from flamingoshelf.nodes._channels import NodeChannel
from flamingoshelf.nodes._codec import message
from flamingoshelf.nodes._link import WebsocketNodeLink
from flamingoshelf.nodes._messages import Acknowledgement, Failure
from flamingoshelf.nodes._tls import NodeTls, load_node_tls

__all__ = [
    "Acknowledgement",
    "Failure",
    "NodeChannel",
    "NodeTls",
    "WebsocketNodeLink",
    "load_node_tls",
    "message",
]
