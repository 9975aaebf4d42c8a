"""Other nodes as peers: CBOR messages over authenticated websockets."""

from flamingoshelf.nodes._codec import message
from flamingoshelf.nodes._link import WebsocketNodeLink
from flamingoshelf.nodes._messages import Acknowledgement, Failure

__all__ = ["Acknowledgement", "Failure", "WebsocketNodeLink", "message"]
