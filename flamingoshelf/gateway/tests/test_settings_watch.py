"""Reloading of settings files that change while a node runs."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.gateway import GatewaySettings
from flamingoshelf.gateway._settings_watch import SettingsWatch

SETTINGS = GatewaySettings(
    node_name="n",
    data_centre="a",
    caller_address="127.0.0.1:1",
    readiness_address="127.0.0.1:2",
    peer_address="127.0.0.1:3",
    store_address="127.0.0.1:4",
)


def load(path):
    try:
        return attrs.evolve(SETTINGS, shutdown_grace_s=float(path.read_text()))
    except ValueError as error:
        raise ConfigurationError("bounds.graceS: not valid", step="settings") from error


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_text("8")
    return path


@asynccontextmanager
async def watching(path):
    applied: list[GatewaySettings] = []
    watch = SettingsWatch(path=path, load=load, apply=applied.append)
    await watch.start()
    try:
        yield watch, applied
    finally:
        await watch.stop()


def graces(applied):
    return [settings.shutdown_grace_s for settings in applied]


@pytest.mark.looptime
async def test_changed_file_is_read_without_a_signal(path):
    async with watching(path) as (_, applied):
        await asyncio.sleep(5.0)
        assert applied == []
        path.write_text("12")
        await asyncio.sleep(2.0)
        assert graces(applied) == [12.0]


@pytest.mark.looptime
async def test_signal_reads_the_file_at_once(path):
    async with watching(path) as (watch, applied):
        path.write_text("12")
        watch.reload(reason="signal")
        assert graces(applied) == [12.0]
        await asyncio.sleep(3.0)
        assert len(applied) == 1  # the periodic check does not apply the same change again


@pytest.mark.looptime
@pytest.mark.parametrize("text", ["none", None], ids=["not valid", "deleted"])
async def test_invalid_or_missing_file_changes_nothing(path, text):
    async with watching(path) as (_, applied):
        if text is None:
            path.unlink()
        else:
            path.write_text(text)
        await asyncio.sleep(3.0)
        assert applied == []
        path.write_text("9.5")
        await asyncio.sleep(3.0)
        assert graces(applied) == [9.5]
