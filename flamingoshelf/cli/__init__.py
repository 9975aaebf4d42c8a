"""The operators' command-line tool ``flamingoshelf``."""

from flamingoshelf.cli._main import main

__all__ = ["main"]
