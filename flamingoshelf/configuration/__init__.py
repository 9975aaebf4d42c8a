"""Configuration revisions: operators publish them, nodes follow the newest one."""

from flamingoshelf.configuration._documents import HEAD_KEY, Head, Manifest, RevisionStep
from flamingoshelf.configuration._follower import ConfigurationFollower
from flamingoshelf.configuration._garbage import KEPT_REVISIONS
from flamingoshelf.configuration._reading import PublishedRevision, RevisionReader
from flamingoshelf.configuration._repository import AppliedChange, Edit, Repository

__all__ = [
    "AppliedChange",
    "ConfigurationFollower",
    "Edit",
    "HEAD_KEY",
    "Head",
    "KEPT_REVISIONS",
    "Manifest",
    "PublishedRevision",
    "Repository",
    "RevisionReader",
    "RevisionStep",
]
