"""The installation file: its settings, and its errors, each reported in one line with section and key."""

import json
import subprocess
import sys

import pytest
from fronts import configuration

from weldbend.fleet.settings import FleetSettings as Fleet
from weldbend.fleet.settings import LimitSettings
from weldbend.idle_connections.policy import ConnectionSettings
from weldbend.installation.errors import InstallationError
from weldbend.installation.keys import SECTIONS
from weldbend.installation.reader import read_installation
from weldbend.installation.values import format_duration


def write_file(tmp_path, text):
    path = tmp_path / "weldbend.ini"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def test_the_shipped_file_equals_the_defaults():
    shipped = read_installation("deploy/weldbend.ini")
    assert (
        shipped.sections
        == read_installation(None).sections
        == {"clients": ConnectionSettings(), "fleet": Fleet(), "limits": LimitSettings()}
    )
    # The installation has a setting for each key.
    assert len(shipped.settings) == sum(len(section.keys) for section in SECTIONS.values())


def test_each_key_sets_its_setting_and_is_shown_with_its_origin(tmp_path):
    path = write_file(
        tmp_path,
        "[clients]\nidle = 2 min  # comment\nfirst-call=1500ms\n"
        "park-after = 0 s\nmost = auto\nwake-batch = 7\n",
    )
    installation = read_installation(path)
    assert installation.sections["clients"] == ConnectionSettings(
        idle_timeout=120.0, request_timeout=1.5, pool_after=0.0, wake_batch=7
    )
    shown = {setting.key: (setting.value, setting.origin) for setting in installation.settings}
    assert shown["idle"] == ("120 s", path) and shown["close-batch"] == ("256", "default")
    assert shown["most"] == ("auto", path) and format_duration(0.25) == "250 ms"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[clients]\nidle = 5\n", "[clients] idle: '5' lacks its unit"),
        ("[clients]\nidle = 5 parsec\n", "[clients] idle: unit 'parsec' is not one of"),
        ("[clients]\nidle = -1 s\n", "[clients] idle: '-1 s' is not a duration"),
        ("[clients]\nidle = 99 h\n", "[clients] idle: 99 h is not between 500 ms and 86400 s"),
        ("[clients]\nidle = 1 s\npark-after = 1 s\n", "[clients] park-after (1 s) must be shorter than idle"),
        ("[clients]\nidle = 1 s, 2 s\n", "[clients] idle: '1 s, 2 s' is not a duration"),
        ("[clients]\nwake-batch = 1.5\n", "[clients] wake-batch: '1.5' is not an integer"),
        ("[clients]\nwake-batch = 0\n", "[clients] wake-batch: 0 is not between 1 and 4096"),
        ("[clients]\nmost = many\n", "[clients] most: 'many' is not an integer or 'auto'"),
        ("[clients]\nidel = 5 s\n", "[clients] unknown key 'idel'"),
        ("[client]\n", "unknown section [client]"),
        ("idle = 5 s\n", "key 'idle' precedes the first section"),
        ("[clients]\nidle = 5 s\nidle = 6 s\n", "Duplicate keyword name at line 3"),
        ("[clients]\nidle 5 s\n", "at line 2"),
        ("[clients\n", "line 1"),
        (b"[clients]\nidle = \xff\n", "not UTF-8"),
        (b"#" * (1 << 20) + b"\n#", "more than"),
    ],
)
def test_an_invalid_value_is_reported_in_one_line(tmp_path, text, message):
    with pytest.raises(InstallationError) as error:
        read_installation(write_file(tmp_path, text))
    assert message in str(error.value) and "\n" not in str(error.value)


def run(*arguments):
    command = [sys.executable, "-m", "weldbend", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def test_check_prints_settings_with_their_origin_and_errors_in_one_line(tmp_path):
    site = tmp_path / "front.json"
    site.write_text(configuration())
    installation = write_file(tmp_path, "[clients]\nmost = 100\n")
    result = run("check", "--config", str(site), "--installation", installation)
    assert result.returncode == 0 and f"[clients] most = 100  ({installation})" in result.stdout
    assert "connections: 100 of clients" in result.stdout and "idle = 4.5 s  (default)" in result.stdout
    for invalid in (write_file(tmp_path, "[clients]\nmost = no\n"), str(tmp_path / "none.ini")):
        result = run("serve", "--config", str(site), "--installation", invalid)
        assert result.returncode == 1 and result.stderr.count("\n") == 1 and "installation" in result.stderr


def test_a_front_loads_neither_testbed_nor_installation_reader_and_logs_json_objects(tmp_path):
    """A field named like one of the log's own, `level`, does not replace it."""
    code = (
        "import sys; from loguru import logger; from weldbend import logs; import weldbend.front.server\n"
        "logs.start('info', 'json'); logger.bind(most=3, level='x').info('received {}', {'a': 1})\n"
        "print(sorted(m for m in sys.modules if m.split('.')[0] in ('configobj', 'hdrh', 'numpy', 'h2')\n"
        " or m.startswith(('weldbend.testbed', 'weldbend.installation'))))"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
    assert result.stdout.strip() == "[]", result.stdout
    (line,) = result.stderr.splitlines()
    entry = json.loads(line)
    assert entry["message"] == "received {'a': 1}" and entry["most"] == 3 and entry["level"] == "INFO"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("peers = n1@127.0.0.1:7401", "peers without listen"),
        ("listen = 127.0.0.1:7401", "listen without keys"),
        ("listen = host:7401", "is not an address"),
        ("peers = n1@127.0.0.1:99999", "is not a peer such as"),
        ("peers = n1@127.0.0.1:7401, n1@127.0.0.2:7401", "is listed twice"),
        ("peers = n1@127.0.0.1:7401, n2@127.0.0.1:7401", "belongs to two peers"),
        ("control = 10.0.0.1:7402", "is not a loopback address"),
        ("interval = 200 ms", "at most half of interval"),
        ("outbox = 70000", "two of the longest messages"),
    ],
)
def test_an_invalid_fleet_section_is_reported_in_one_line(tmp_path, text, message):
    # A section needs `listen` and `keys`; they are added unless the error concerns them.
    listen = "" if "without" in message or "listen" in text else "listen = 127.0.0.1:7400\nkeys = k\n"
    with pytest.raises(InstallationError) as error:
        read_installation(write_file(tmp_path, f"[fleet]\n{listen}{text}\n"))
    assert message in str(error.value) and "[fleet]" in str(error.value) and "\n" not in str(error.value)
