"""Tests of `weldbend lab scale`: its plan, its bounds, and a small comparison with real fronts.

The command compares a site of the usual size with one of the same total capacity, divided among more caches.
"""

import json
import socket
import subprocess
import sys
from dataclasses import replace

import pytest
from click.testing import CliRunner
from twisted.internet.testing import MemoryReactorClock

from weldbend.testbed.commands import scale as scale_command
from weldbend.testbed.emulator.emulated_site import EmulatedSite, SiteSettings
from weldbend.testbed.scale.bounds import BOUNDS, broken_bounds
from weldbend.testbed.scale.figures import ScaleFigures, busiest_fraction, used_fraction
from weldbend.testbed.scale.plan import ScalePlan

# Invented figures of the usual size; those that are bounded are the basis of the sums in LAST_ACCEPTED.
USUAL = ScaleFigures(
    caches=100,
    requests=1000,
    served=1.0,
    start_cpu=0.5,
    cpu=5.0,
    calls=1_000_000.0,
    memory=50_000_000,
    descriptors=120.0,
    connections=300.0,
    list_bytes=6_000.0,
    lookups=2500,
    edge_hits=0.3,
    parent_hits=0.2,
    origin_bytes=10_000_000,
    edges_used=1.0,
    busiest_fraction=0.2,
)
# For each bound of the operators' table: the most extreme figure that it accepts with 1,600 caches. A bound
# is a factor times the usual figure, plus a constant and an allowance for each thousand caches (here 1.6).
LAST_ACCEPTED = {
    "CPU, s": {"cpu": 7.212},  # 1.4 x 5 + 0.02 + 0.12 x 1.6
    "calls in a front, thousands": {"calls": 1_400_000.0},  # 1.4 x 1,000
    "peak memory, MB": {"memory": 89_400_000},  # 1.5 x 50 + 8 + 4 x 1.6
    "descriptors": {"descriptors": 280.0},  # 2 x 120 + 40
    "connections made": {"connections": 790.0},  # 2.5 x 300 + 40
    "bytes of lists, KB": {"list_bytes": 876_000.0},  # 2 x 6 + 64 + 500 x 1.6
    "share served": {"served": 0.85},  # 0.85 x 1.0, a minimum
}


@pytest.mark.parametrize("name", LAST_ACCEPTED)
def test_a_figure_is_accepted_up_to_its_bound_and_rejected_beyond(name):
    large = replace(USUAL, caches=1600)
    ((field, value),) = LAST_ACCEPTED[name].items()
    rejected = value * (0.999 if name == "share served" else 1.001)
    # Only this figure differs from the usual size, so all other bounds are met.
    assert not broken_bounds(USUAL, replace(large, **{field: value}), is_counted_only=False)
    broken = broken_bounds(USUAL, replace(large, **{field: rejected}), is_counted_only=False)
    assert [bound.name for bound in broken] == [name] and len(BOUNDS) == len(LAST_ACCEPTED)
    # Only CPU time and memory are not counts, and depend on the machine.
    assert bool(broken_bounds(USUAL, replace(large, **{field: rejected}), is_counted_only=True)) is (
        name not in ("CPU, s", "peak memory, MB")
    )


def test_the_total_capacity_of_all_caches_is_the_same_for_each_division():
    usual, large = ScalePlan().site_settings(), ScalePlan(division=16).site_settings()
    assert usual.edges + usual.parents == 100 and large.edges + large.parents == 1600
    # a sixteenth for each cache
    for name in ("edge_capacity", "edge_rate", "cache_rate", "cache_weight", "cache_max_open"):
        assert getattr(usual, name) == 16 * getattr(large, name)
    for name in ("sockets", "memory_mb", "open_cap", "origin_rate", "sizes"):
        assert getattr(usual, name) == getattr(large, name)
    assert ScalePlan().load_plan() == ScalePlan(division=16).load_plan()
    assert ScalePlan(division=16).changes_per_second() == 16 * ScalePlan().changes_per_second()


def test_evenness_is_measured_by_the_fraction_of_edges_used_and_by_the_busiest_tenth():
    """The lists have the number of commands at each edge; a tenth of 20 edges are two."""
    assert (
        busiest_fraction([1] * 20) == 0.1
        and busiest_fraction([0] * 19 + [5]) == 1.0
        and busiest_fraction([]) == 0.0
    )
    assert used_fraction([0, 1, 2, 0]) == 0.5


@pytest.mark.parametrize("served, status", [(0.9, 0), (0.5, 1)])
def test_the_exit_status_is_1_if_a_bound_is_missed(monkeypatch, served, status):
    figures = {1: USUAL, 16: replace(USUAL, caches=1600, served=served)}
    monkeypatch.setattr(scale_command, "play", lambda plan: figures[plan.division])
    result = CliRunner().invoke(scale_command.scale, [])
    assert result.exit_code == status and ("missed: share served" in result.output) is bool(status)
    # the bound of "connections made": 2.5 x 300 + 40
    assert "connections made" in result.output and "790.00" in result.output


def test_real_fronts_with_sixteen_times_the_caches_stay_within_the_counted_bounds(tmp_path):
    """Only counts are judged, not CPU time or memory, so that a slow machine gives the same result."""
    path = tmp_path / "scale.json"
    size = ("--caches", "12", "--factor", "16", "--rate", "10", "--seconds", "4")
    command = [sys.executable, "-m", "weldbend", "lab", "scale", *size, "--counted", "--json", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert result.returncode == 0, result.stdout + result.stderr
    report = json.loads(path.read_text())
    usual, large = report["usual"], report["large"]
    # 192 caches are 12 x 16
    assert (usual["caches"], large["caches"]) == (12, 192) and usual["requests"] == large["requests"] > 20
    assert usual["served"] > 0.9 and large["served"] > 0.9
    # Lower bounds, which show that the figures were measured at all.
    assert usual["connections"] > 12 and large["connections"] > usual["connections"]
    assert min(usual["calls"], large["calls"]) > 1000 * usual["requests"]
    assert large["list_bytes"] > 2 * usual["list_bytes"] > 0 and large["origin_bytes"] > 0


def test_the_port_of_a_front_is_reserved_until_the_front_listens():
    """A port that is only looked up may be assigned to another connection before the front binds it."""
    emulated_site = EmulatedSite(MemoryReactorClock(), SiteSettings(edges=1, parents=1, fronts=1))
    _, address = emulated_site.configure(1)
    host, port = address.split(":")
    assert int(port) < 32_768  # below the ephemeral ports, which the kernel also assigns to connects
    with socket.socket() as other_socket, pytest.raises(OSError, match="in use"):
        other_socket.bind((host, int(port)))
    with socket.socket() as front:
        front.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        front.bind((host, int(port)))
        front.listen()
