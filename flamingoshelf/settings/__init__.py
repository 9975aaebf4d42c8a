"""Settings of one node: a JSON file that is validated against a schema."""

from flamingoshelf.settings._loader import Settings, load_settings
from flamingoshelf.settings._schema import SETTINGS_SCHEMA

__all__ = ["SETTINGS_SCHEMA", "Settings", "load_settings"]
