"""Generate the operators' reference of settings: ``python -m lab.settings_reference``."""

import json
from pathlib import Path

from flamingoshelf.settings import SETTINGS_SCHEMA

__all__ = ["SETTINGS_PATH", "render_settings"]

SETTINGS_PATH = Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
_INTRODUCTION = """# Settings

This page is made by `python -m lab.settings_reference` from the schema. Settings are one JSON
object; unknown fields are errors.

| Field | Valid | Default | Meaning |
| --- | --- | --- | --- |
"""
_NON_CONSTRAINT_KEYS = ("default", "description")


def render_settings() -> str:
    """Return the page in Markdown."""
    required = SETTINGS_SCHEMA["required"]
    rows = []
    for name, spec in SETTINGS_SCHEMA["properties"].items():
        valid = json.dumps({key: spec[key] for key in spec if key not in _NON_CONSTRAINT_KEYS})
        default = "required" if name in required else json.dumps(spec.get("default", "none"))
        rows.append(f"| {name} | `{valid}` | {default} | {spec.get('description', '')} |\n")
    return _INTRODUCTION + "".join(rows)


if __name__ == "__main__":
    SETTINGS_PATH.write_text(render_settings())
