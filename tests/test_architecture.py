"""The layers of docs/architecture.md: allowed imports, no import cycles, and the modules that a front loads.

Imports for type checkers only are ignored. An import inside a function counts for the layers, because it
makes one package depend on another, but not for cycles, because it cannot fail while modules are loaded.
"""

import ast
import subprocess
import sys
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROTOCOLS = {"buffers", "thrift", "cache_protocol"}
# For each package, or module at the top level, the others that it may import.
MAY_IMPORT = {
    "__main__": {"cli", "early_signals"},
    "accept_guard": {"invariants", "socket_errors"},
    "buffers": {"invariants"},
    "cache_protocol": {"buffers"},
    "caches": {"buffers", "cache_protocol", "invariants", "socket_errors"},
    "cli": {"early_signals", "fleet", "front", "installation", "logs", "testbed"},
    "clients": {"accept_guard", "buffers", "idle_connections", "invariants", "thrift"},
    "early_signals": set(),
    "event_bus": {"buffers", "invariants", "routing"},
    "fleet": {"accept_guard", "buffers", "event_bus", "invariants", "routing", "socket_errors"},
    "front": PROTOCOLS
    | {"caches", "clients", "early_signals", "event_bus", "fleet", "idle_connections", "invariants"}
    | {"routing", "site_settings"},
    "idle_connections": {"invariants", "socket_errors"},
    "installation": {"fleet", "idle_connections"},
    "invariants": set(),
    "logs": set(),
    "routing": set(),
    "simhost": {"routing", "site_settings"},
    "site_settings": {"routing"},
    "socket_errors": set(),
    "testbed": PROTOCOLS | {"event_bus", "fleet", "front", "idle_connections", "installation", "routing"},
    "thrift": {"buffers", "invariants"},
}
# Packages and libraries that a front must not load.
NOT_IN_A_FRONT = ("weldbend.fleet", "weldbend.testbed", "weldbend.installation", "weldbend.simhost")
LIBRARIES_NOT_IN_A_FRONT = ("msgspec", "configobj", "hdrh", "numpy", "matplotlib")


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in sorted((ROOT / "weldbend").rglob("*.py"))}


def is_for_type_checkers(node: ast.stmt) -> bool:
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def imported_modules(nodes: list[ast.stmt], inside_function: bool = False) -> Iterator[tuple[str, bool]]:
    """Yield the modules of weldbend that statements import, and whether the import is inside a function."""
    for node in nodes:
        if is_for_type_checkers(node):
            continue
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            inner = [f"{node.module}.{alias.name}" for alias in node.names]
            names = [name if name in MODULES else str(node.module) for name in inner]
        else:
            names = []
        yield from ((name, inside_function) for name in names if name.split(".")[0] == "weldbend")
        is_function = inside_function or isinstance(node, ast.FunctionDef)
        for field in ("body", "orelse", "handlers", "finalbody"):
            yield from imported_modules(getattr(node, field, []), is_function)


def imports_of(module: str) -> list[tuple[str, bool]]:
    return list(imported_modules(ast.parse(MODULES[module].read_text("utf-8")).body))


def package_of(module: str) -> str:
    return module.split(".")[1] if "." in module else ""


@pytest.mark.parametrize("name", sorted({package_of(module) for module in MODULES} - {""}))
def test_a_package_imports_only_what_its_layer_allows(name):
    found = {
        package_of(other)
        for module in MODULES
        if package_of(module) == name
        for other, _ in imports_of(module)
        if package_of(other) not in (name, "")
    }
    assert found <= MAY_IMPORT[name], f"{name} must not import {sorted(found - MAY_IMPORT[name])}"


def test_modules_have_no_import_cycles_while_loading():
    graph = {
        module: {other for other, is_deferred in imports_of(module) if not is_deferred and other != module}
        for module in MODULES
    }
    try:
        order = list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        pytest.fail(f"import cycle: {' -> '.join(error.args[1])}")
    assert set(order) >= set(MODULES)  # every module is in the graph that was searched for cycles


def test_an_import_cycle_is_detected():
    with pytest.raises(CycleError):
        list(TopologicalSorter({"one": {"two"}, "two": {"one"}}).static_order())


def test_a_front_loads_neither_fleet_nor_testbed_nor_their_libraries():
    code = "import sys, weldbend.front.server, weldbend.cli; print('\\n'.join(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT, check=True
    )
    loaded = result.stdout.split()
    assert "weldbend.routing.router" in loaded
    unwanted = [name for name in loaded if name.startswith(NOT_IN_A_FRONT)]
    unwanted += [name for name in loaded if name.split(".")[0] in LIBRARIES_NOT_IN_A_FRONT]
    assert unwanted == []
