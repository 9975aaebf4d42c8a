"""All errors of a settings file are reported, each with file, field, value and valid range."""

import json

import pytest

from flamingoshelf.daemon import main
from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.settings import load_settings

VALID_SETTINGS = {
    "node_name": "node-0",
    "data_centre": "kathmandu-a",
    "caller_address": "127.0.0.1:7000",
    "peer_address": "127.0.0.1:7001",
    "operator_address": "127.0.0.1:7002",
    "object_service_address": "127.0.0.1:7003",
    "vm_list_address": "127.0.0.1:7003",
    "cluster_secret_file": "secret",
}


@pytest.fixture
def write(tmp_path):
    (tmp_path / "secret").write_text("0123456789abcdef\n")
    (tmp_path / "short").write_text("0123")

    def write_settings(**changes):
        path = tmp_path / "node.json"
        path.write_text(json.dumps(VALID_SETTINGS | changes))
        return path

    return write_settings


def test_defaults_and_secret(write):
    settings = load_settings(write())
    assert settings.shutdown_timeout_s == 60
    assert settings.cluster_secret == b"0123456789abcdef"
    assert "0123456789abcdef" not in repr(settings)


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("caller_address", "here", '"pattern"'),
        ("max_body_bytes", 3, '"minimum": 1024'),
        ("max_body_bytes", "many", '"type": "integer"'),
        ("shutdown_timeout_s", 0, '"exclusiveMinimum": 0'),
        ("log_format", "xml", '"enum": ["text", "json"]'),
        ("cluster_secret_file", "absent", "can't be read"),
        ("cluster_secret_file", "short", "at least 16"),
    ],
)
def test_error_names_file_field_value_and_range(write, field, value, expected):
    path = write(**{field: value})
    with pytest.raises(ConfigurationError) as caught:
        load_settings(path)
    message = caught.value.message
    assert str(path) in message
    assert field in message
    assert repr(value) in message
    assert expected in message


def test_all_errors_at_once(write, capsys):
    path = write(log_format="xml", max_body_bytes=3, colour="pink")
    assert main(["--settings", str(path), "--check-settings"]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3
    assert any("colour" in line for line in lines)


@pytest.mark.parametrize("text", ["", "{", "[]", "7"])
def test_file_that_is_no_object(tmp_path, text, capsys):
    path = tmp_path / "node.json"
    path.write_text(text)
    assert main(["--settings", str(path), "--check-settings"]) == 2
    assert str(path) in capsys.readouterr().err


def test_missing_field(write, tmp_path, capsys):
    path = tmp_path / "node.json"
    path.write_text(
        json.dumps({name: VALID_SETTINGS[name] for name in VALID_SETTINGS if name != "data_centre"})
    )
    assert main(["--settings", str(path), "--check-settings"]) == 2
    assert "'data_centre' is a required property" in capsys.readouterr().err


def test_valid_settings(write, capsys):
    assert main(["--settings", str(write()), "--check-settings"]) == 0
    assert "valid" in capsys.readouterr().out
