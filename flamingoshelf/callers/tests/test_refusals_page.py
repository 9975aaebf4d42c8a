"""Check that the operators' page on refusals lists every reason once."""

import re
from pathlib import Path

from flamingoshelf.refusals import RefusalReason

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "refusals.md"


def test_page_names_every_reason_once():
    rows = re.findall(r"^\| `([a-z_]+)` \|", PAGE.read_text(), re.MULTILINE)
    assert sorted(rows) == sorted(reason.value for reason in RefusalReason)
