"""Failing starts: the exit code and the text on standard error."""

import json
import os
import socket
import subprocess
import sys

import pytest
from platform_harness import SETTINGS


@pytest.fixture
def document():
    return {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "bulletin": "127.0.0.1:2",
        "known": {"no": 0, "items": []},
        "settings": SETTINGS,
    }


def start(**environment):
    """Runs the platform's gateway to its end; returns its exit code and standard error."""
    inherited = {name: text for name, text in os.environ.items() if not name.startswith("PROXY_")}
    completed = subprocess.run(
        [sys.executable, "-m", "cherrydoor", "platform"],
        env=inherited | environment,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=20,
    )
    return completed.returncode, completed.stderr


def test_a_start_without_a_configuration_file_names_the_variable():
    assert start() == (
        64,
        "cherrydoor platform: PROXY_CONFIG: a file's path expected in the environment\n",
    )


def test_a_start_with_an_absent_file_names_it(tmp_path):
    path = tmp_path / "absent.json"
    assert start(PROXY_CONFIG=str(path)) == (
        64,
        f"cherrydoor platform: PROXY_CONFIG: {path}: No such file or directory\n",
    )


def test_a_start_with_a_file_that_is_not_json_names_it(tmp_path):
    path = tmp_path / "config.json"
    path.write_text("{")
    code, text = start(PROXY_CONFIG=str(path))
    assert code == 64 and text.startswith(f"cherrydoor platform: {path}: invalid JSON: ")


def test_a_start_with_an_unusable_key_names_its_place_and_value(tmp_path, document):
    path = tmp_path / "config.json"
    document["limits"]["sockets"] = "many"
    path.write_text(json.dumps(document))
    assert start(PROXY_CONFIG=str(path)) == (
        64,
        "cherrydoor platform: limits.sockets: a number of at least 64 expected, not 'many'\n",
    )


def test_a_start_under_a_name_other_than_the_files_is_refused(tmp_path, document):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    assert start(PROXY_CONFIG=str(path), PROXY_NAME="n2") == (
        64,
        "cherrydoor platform: PROXY_NAME: 'n2' is not the configuration's name 'n1'\n",
    )


def test_a_start_at_an_address_in_use_ends_with_69(tmp_path, document):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        assert start(PROXY_CONFIG=str(path), PROXY_LISTEN=address) == (
            69,
            f"{address}: the listener cannot be opened: Address already in use\n",
        )
