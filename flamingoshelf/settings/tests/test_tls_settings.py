"""The three TLS files are set together and resolved relative to the settings file."""

import json
from pathlib import Path

import pytest

from flamingoshelf.daemon import main
from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.settings import load_settings

TLS = {"tls_certificate_file": "c", "tls_key_file": "k", "tls_authority_file": "a"}


def write(folder: Path, **more):
    names = ("caller", "peer", "operator", "object_service", "vm_list")
    document = {f"{name}_address": "127.0.0.1:1" for name in names}
    document |= {"node_name": "n", "data_centre": "a", "cluster_secret_file": "secret", **more}
    (folder / "secret").write_text("x" * 32)
    path = folder / "settings.json"
    path.write_text(json.dumps(document))
    return path


@pytest.mark.parametrize("missing", sorted(TLS))
def test_tls_files_must_be_set_together(tmp_path, missing):
    given = {name: value for name, value in TLS.items() if name != missing}
    with pytest.raises(ConfigurationError, match=missing):
        load_settings(write(tmp_path, **given))


def test_tls_file_paths_are_relative_to_the_settings_file(tmp_path):
    settings = load_settings(write(tmp_path, **TLS))
    assert settings.tls_key_file == tmp_path / "k"


def test_tls_files_that_cannot_be_read_end_the_daemon(tmp_path, capsys):
    assert main(["--settings", str(write(tmp_path, **TLS))]) == 2
    assert "TLS files" in capsys.readouterr().err
