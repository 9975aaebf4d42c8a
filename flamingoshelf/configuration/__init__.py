"""Revisions of the configuration: published by operators, followed by nodes."""

from flamingoshelf.configuration._documents import HEAD_KEY, Head, Manifest
from flamingoshelf.configuration._follower import ConfigurationFollower
from flamingoshelf.configuration._repository import PublishedRevision, Repository

__all__ = [
    "ConfigurationFollower",
    "HEAD_KEY",
    "Head",
    "Manifest",
    "PublishedRevision",
    "Repository",
]
