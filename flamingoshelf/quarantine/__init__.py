"""Quarantine of request contents that crash servers."""

from flamingoshelf.quarantine._archive import CrashArchive
from flamingoshelf.quarantine._attribution import Culprit, attribute_crashes
from flamingoshelf.quarantine._content_keys import content_digest, part_key, part_keys
from flamingoshelf.quarantine._guard import ContentGuard
from flamingoshelf.quarantine._quarantine import Quarantine
from flamingoshelf.quarantine._reports import CrashReport, Suspect
from flamingoshelf.quarantine._service import QuarantineService

__all__ = [
    "ContentGuard",
    "CrashArchive",
    "CrashReport",
    "Culprit",
    "Quarantine",
    "QuarantineService",
    "Suspect",
    "attribute_crashes",
    "content_digest",
    "part_key",
    "part_keys",
]
