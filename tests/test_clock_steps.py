"""Virtual runs in which Unix clocks are stepped and stamps are changed on their way: the rules hold."""

from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import RunSettings

REWRITTEN_BORN = 49  # a seed whose drawn faults rewrite `born` in answers


def test_the_auditor_goes_by_what_caches_gave_out_and_not_by_a_stamp_changed_on_its_way():
    run = Run(REWRITTEN_BORN, RunSettings())
    result = run.play()
    assert any("rewrite" in name for name in result.injected)
    assert any('born": "1"' in line or "'born': '1'" in line for line in result.log)
    assert not result.violations, result.violations
