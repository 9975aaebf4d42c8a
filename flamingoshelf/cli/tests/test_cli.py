"""The command-line tool against a simulated platform that runs in a process of its own."""

import asyncio
import json

import pytest

from flamingoshelf.cli import main
from flamingoshelf.http_client import new_http_client
from lab.processes import AddressPool, Process, wait_until_listening
from lab.scenarios import SCENARIOS

pytestmark = pytest.mark.processes

ADDRESSES = AddressPool()


@pytest.fixture
def store(tmp_path):
    address = ADDRESSES.reserve()[0]
    process = Process(name="platform", arguments=["lab", "platform", address], log_folder=tmp_path)
    process.start()
    asyncio.run(wait_until_listening(address))
    yield address
    process.kill()


@pytest.fixture
def folder(tmp_path):
    documents = SCENARIOS["himal"].objects(["127.0.0.1:1"], ["127.0.0.1:2"], ["127.0.0.1:3"])
    path = tmp_path / "objects"
    path.mkdir()
    (path / "fleet.json").write_text(json.dumps(documents[:5]))
    (path / "rest.json").write_text(json.dumps(documents[5:]))
    return path


@pytest.fixture
def run(capsys):
    def run(*arguments):
        status = main([str(argument) for argument in arguments])
        printed = capsys.readouterr()
        return status, printed.out + printed.err

    return run


def write(folder, name, **spec):
    kind, _, short = name.partition("/")
    path = folder / "change.json"
    path.write_text(json.dumps({"kind": kind, "name": short, "spec": spec}))
    return path


def set_faults(store, **faults):
    async def send():
        client = new_http_client()
        await client.post(f"http://{store}/control", json={"faults": faults})
        await client.connector.cleanup()

    asyncio.run(send())


def test_objects_are_checked_applied_shown_and_listed(run, store, folder, tmp_path):
    assert run("check", folder)[0] == 0
    status, text = run("apply", folder, "--store", store)
    assert (status, "revision 1 published" in text) == (0, True)
    status, text = run("apply", folder, "--store", store)
    assert (status, "revision 1 unchanged" in text) == (0, True)
    change = write(tmp_path, "workspace/workshop", rate_tokens_s=5, burst_tokens=90000)
    status, text = run("diff", change, "--store", store)
    assert status == 1
    assert "~ workspace/workshop: spec.rate_tokens_s: 3000.0 -> 5.0" in text
    assert run("apply", change, "--store", store, "--dry-run")[0] == 0
    assert json.loads(run("status", "--store", store, "--json")[1])["revision"] == 1
    assert run("apply", change, "--store", store)[0] == 0
    shown = json.loads(run("get", "workspace/workshop", "--store", store)[1])
    assert shown[0]["spec"]["rate_tokens_s"] == 5
    entries = json.loads(run("history", "--store", store, "--json")[1])["revisions"]
    assert [entry["revision"] for entry in entries] == [2, 1]
    assert entries[0]["changed"] == ["workspace/workshop"]


def test_keys_are_withdrawn_and_servers_drained(run, store, folder):
    run("apply", folder, "--store", store)
    assert run("withdraw-key", "workshop-key", "--store", store)[0] == 0
    assert json.loads(run("get", "key/workshop-key", "--store", store)[1])[0]["spec"]["withdrawn"]
    status, text = run("drain", "decode-0", "--store", store)
    assert (status, "warning: model/writer" in text) == (0, True)
    spec = json.loads(run("get", "backend_server/decode-0", "--store", store)[1])[0]["spec"]
    assert spec["state"] == "leaving"
    assert run("drain", "decode-0", "--store", store, "--undo")[0] == 0
    assert run("status", "--store", store)[1].strip() == "newest revision: 4"


def test_merge_keeps_and_prune_removes_other_objects(run, store, folder):
    run("apply", folder, "--store", store)
    (folder / "rest.json").unlink()
    assert "unchanged" in run("apply", folder, "--store", store)[1]
    assert run("apply", folder, "--store", store, "--prune")[0] == 0
    assert len(json.loads(run("get", "--store", store)[1])) == 5
    only_server = write(
        folder, "backend_server/b", pool="gone", address="127.0.0.1:9", data_centre="x"
    )
    status, text = run("apply", only_server, "--store", store, "--prune")
    assert (status, "backend_server/b: spec.pool refers to pool/gone" in text) == (3, True)
    assert len(json.loads(run("get", "--store", store)[1])) == 5


def test_a_later_change_than_the_base_is_refused(run, store, folder, tmp_path):
    run("apply", folder, "--store", store)
    change = write(tmp_path, "workspace/workshop", rate_tokens_s=5, burst_tokens=90000)
    run("apply", change, "--store", store)
    change = write(tmp_path, "workspace/workshop", rate_tokens_s=6, burst_tokens=90000)
    status, text = run("apply", change, "--store", store, "--base", 1)
    assert status == 4
    assert "workspace/workshop: spec.rate_tokens_s" in text
    assert "revision 2" in text
    assert run("apply", change, "--store", store, "--base", 2)[0] == 0


def test_faults_of_the_object_service_have_their_own_statuses(run, store, folder):
    set_faults(store, lose_answers=3)
    assert run("apply", folder, "--store", store)[0] == 0
    set_faults(store, down=True)
    status, text = run("withdraw-key", "workshop-key", "--store", store)
    assert status == 5
    assert store in text
    set_faults(store, down=False)
    assert run("status", "--store", store, "--node", ADDRESSES.reserve()[0])[0] == 7
    wait = ("--wait", "0.5", "--node", ADDRESSES.reserve()[0])
    status, text = run("withdraw-key", "workshop-key", "--store", store, *wait)
    assert (status, "not reachable" in text) == (7, True)


BAD_FILES = {
    "no file": (None, "No such file"),
    "not JSON": ("{", "not valid JSON"),
    "bad field": ('{"kind": "pool", "name": "p", "spec": {"role": 3}}', "pool/p"),
    "twice": ('[{"kind": "pool", "name": "p", "spec": {"role": "plain"}}]', "2 times"),
}


@pytest.mark.parametrize("case", BAD_FILES)
def test_bad_files_are_named(run, tmp_path, case):
    content, expected_text = BAD_FILES[case]
    path = tmp_path / "bad.json"
    if content is not None:
        path.write_text(content)
    paths = [path, path] if case == "twice" else [path]
    status, text = run("check", *paths)
    assert status == 3
    assert expected_text in text


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["apply", "x.json"],
        ["get", "colour", "--store", "127.0.0.1:1"],
        ["status", "--store", "127.0.0.1:1", "--vm-list", "127.0.0.1:1"],
        ["drain", "x", "--store", "127.0.0.1:1", "--wait", "1"],
    ],
)
def test_usage_errors_have_status_two(arguments, capsys):
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == 2
