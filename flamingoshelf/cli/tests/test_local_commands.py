"""Commands that read local files and contact no other process."""

import json

import pytest

from flamingoshelf.cli import main

_LINES = [
    {"time": 10.0, "node": "vm-1", "message": "status 500; another server is tried",
     "request_id": "9c41", "step": "forward", "peer": "s-1", "level": "INFO"},
    {"time": 10.2, "node": "vm-1", "message": "answered", "request_id": "9c41", "step": "answer",
     "peer": "s-2", "status": 503, "after_s": 0.25, "level": "INFO"},
]  # fmt: skip


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "vm-1.log"
    path.write_text("".join(json.dumps(line) + "\n" for line in _LINES))
    return str(path)


def test_explain_prints_outcome_cause_and_lines(log, capsys):
    assert main(["explain", "9c41", log]) == 0
    printed = capsys.readouterr().out
    assert "cause:   backend server s-2 answered status 503" in printed
    assert "another server is tried" in printed


def test_explain_prints_json(log, capsys):
    assert main(["explain", "9c41", log, "--json"]) == 0
    document = json.loads(capsys.readouterr().out)
    assert document["decisive"]["peer"] == "s-2" and len(document["records"]) == 2


def test_unknown_request_has_a_status_of_its_own(log, capsys):
    assert main(["explain", "77", log]) == 8


def test_missing_log_is_named(tmp_path, capsys):
    assert main(["explain", "77", str(tmp_path / "none.log")]) == 3
    assert "none.log can't be read" in capsys.readouterr().err


def test_settings_of_the_platform_are_checked(tmp_path, capsys):
    path = tmp_path / "settings.conf"
    path.write_text("nodeName = vm-1\n")
    assert main(["check-settings", str(path)]) == 3
    assert "zone" in capsys.readouterr().err


def test_settings_in_json_are_checked(tmp_path, capsys):
    path = tmp_path / "settings.json"
    path.write_text('{"node_name": 5}')
    assert main(["check-settings", str(path)]) == 3
    assert "node_name" in capsys.readouterr().err
