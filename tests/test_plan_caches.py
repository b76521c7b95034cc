"""Fleet plans with an event for a cache that the site does not have, or for an invalid purge group."""

import pytest
from click.testing import CliRunner

from weldbend.testbed.commands.fleet import fleet_command


@pytest.mark.parametrize("mode", [["--virtual"], []])
@pytest.mark.parametrize(
    ("event", "message"),
    [
        ("do = drain\nwhat = e99", "[one] what: 'e99' is none of e1, e2,"),
        ("do = up\nwhat = n1", "[one] what: 'n1' is none of e1, e2,"),
        ("do = purge\nwhat = abc", "[one] what: 'abc' is no group from 0 to 999"),
    ],
)
def test_an_unknown_cache_or_group_is_reported_before_the_plan_is_played(tmp_path, mode, event, message):
    path = tmp_path / "plan.ini"
    path.write_text(f"[fleet]\nfronts = 2\nseconds = 1\n\n[one]\nat = 0.1 s\n{event}\n")
    result = CliRunner().invoke(fleet_command, ["--plan", str(path), *mode])
    assert result.exit_code == 1 and isinstance(result.exception, SystemExit)
    assert f"{path}: {message}" in result.output and len(result.output.splitlines()) == 1
