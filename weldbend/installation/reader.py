"""Reads and checks an installation file: INI by ConfigObj, every key held against `keys.SECTIONS`.

ConfigObj is loaded for a file only: neither a front nor `check` needs it without one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from weldbend.installation.keys import SECTIONS, InvalidValueError

LARGEST = 1 << 20  # bytes of a file


class InstallationError(Exception):
    """A file that nothing can be made of; its text is one line for people, with section and key."""


@dataclass(frozen=True, slots=True)
class Setting:
    """One key as it holds, for people, and where that comes from."""

    section: str
    key: str
    value: str
    origin: str


@dataclass(frozen=True, slots=True)
class Installation:
    sections: dict[str, Any]  # the dataclass of each section, by its name
    settings: tuple[Setting, ...]


def read_installation(path: str | None) -> Installation:
    """What a file sets, or the defaults where there is no file; raises BadInstallation."""
    return build(parse(path) if path else {}, path or "")


def parse(path: str) -> Mapping[str, Any]:
    """The sections of a file; a key before any section stands beside them."""
    from configobj import ConfigObj, ConfigObjError

    try:
        with Path(path).open("rb") as held:
            raw = held.read(LARGEST + 1)
        if len(raw) > LARGEST:
            raise InstallationError(f"{path}: more than {LARGEST} bytes")
        lines = raw.decode("utf-8").splitlines()
        return ConfigObj(lines, list_values=False, interpolation=False, raise_errors=True)
    except OSError as wrong:
        raise InstallationError(f"{path}: cannot be read: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise InstallationError(f"{path}: not UTF-8") from None
    except ConfigObjError as wrong:
        raise InstallationError(f"{path}: {str(wrong).rstrip('.')}") from None


def build(raw: Mapping[str, Any], path: str) -> Installation:
    """Check everything that is said; the first thing wrong is told."""
    for name, said in raw.items():
        if not isinstance(said, Mapping):
            raise InstallationError(f"{path}: key '{name}' stands before any section")
        if name not in SECTIONS:
            raise InstallationError(f"{path}: unknown section [{name}]; known: {', '.join(SECTIONS)}")
    held, settings = {}, []
    for name, section in SECTIONS.items():
        said = raw.get(name, {})
        known = {key.name: key for key in section.keys}
        for key in said:
            if key not in known:
                raise InstallationError(f"{path}: [{name}] unknown key '{key}'; known: {', '.join(known)}")
        values = {}
        for key in section.keys:
            if key.name in said:
                try:
                    values[key.field] = key.check(str(said[key.name]).strip())
                except InvalidValueError as wrong:
                    raise InstallationError(f"{path}: [{name}] {key.name}: {wrong}") from None
        held[name] = replace(section.defaults, **values)
        if wrong := section.agree(held[name]):
            raise InstallationError(f"{path}: [{name}] {wrong}")
        for key in section.keys:
            origin = path if key.name in said else "default"
            settings.append(Setting(name, key.name, key.show(getattr(held[name], key.field)), origin))
    return Installation(held, tuple(settings))
