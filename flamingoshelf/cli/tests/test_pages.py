"""The operators' page lists every command and exit status of the tool."""

from pathlib import Path

from flamingoshelf.cli._parser import COMMANDS
from flamingoshelf.cli._results import ExitStatus

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "cli.md"


def test_page_lists_all_statuses_and_commands():
    text = PAGE.read_text()
    for status in ExitStatus:
        assert f"| {status.value} | {status.meaning} |" in text
    for command in COMMANDS:
        assert f"| `{command}" in text
