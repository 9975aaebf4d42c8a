"""The daemon, which runs one node."""

from flamingoshelf.daemon._main import main
from flamingoshelf.daemon._node import Node

__all__ = ["Node", "main"]
