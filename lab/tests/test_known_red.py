"""The list of tests that are known to fail."""

import pytest

from lab.known_red import read_known_failures


def test_entries_have_four_fields(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# comment\n\na/test_b.py::test_c | pytest a | too late | issue 3\n")
    (entry,) = read_known_failures(path)
    assert (entry.test, entry.issue) == ("a/test_b.py::test_c", "issue 3")


@pytest.mark.parametrize("line", ["a::b", "a::b | c | d", "a::b | c | | e"])
def test_entry_with_missing_fields_is_refused(tmp_path, line):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(line)
    with pytest.raises(ValueError, match="KNOWN-RED.txt:1"):
        read_known_failures(path)
