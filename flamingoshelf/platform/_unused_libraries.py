"""Defers modules that libraries of a node import, and that a node doesn't use, to save memory."""

from flamingoshelf._deferred_imports import defer_imports

# Metadata and proxies of websockets, files of logs and their rotation, names of attributes.
defer_imports("importlib.metadata", "urllib.request", "shutil", "glob", "decimal", "unicodedata")
