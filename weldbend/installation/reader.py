"""Reader of the installation file, which validates each key according to `keys.SECTIONS`.

The file is INI, parsed by ConfigObj. ConfigObj is imported only if there is a file, since the commands
`serve` and `check` do not need it otherwise.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from weldbend.installation.errors import InstallationError, InvalidValueError
from weldbend.installation.keys import SECTIONS, Section

MAX_FILE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Setting:
    """A key and the text of its value, as the command `check` shows them.

    Attributes:
        section: Name of the section.
        key: Name of the key.
        value: Text of the value.
        origin: Path of the file that sets the key, or "default".
    """

    section: str
    key: str
    value: str
    origin: str


@dataclass(frozen=True, slots=True)
class Installation:
    """Settings of all sections.

    Attributes:
        sections: Settings object of each section, by name of the section.
        settings: All keys with the texts of their values, including defaults.
    """

    sections: dict[str, Any]
    settings: tuple[Setting, ...]


def read_installation(path: str | None) -> Installation:
    """Return the settings of a file, or the defaults if `path` is None.

    Raises:
        InstallationError: The file cannot be read or used.
    """
    return build(parse(path) if path else {}, path or "")


def parse(path: str) -> Mapping[str, Any]:
    """Return the sections of an INI file by name.

    A key that precedes the first section is in the result as well, with its text in place of a section.

    Raises:
        InstallationError: The file cannot be read, is too long, or is not INI in UTF-8.
    """
    from configobj import (
        ConfigObj,
        ConfigObjError,
    )

    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise InstallationError(path, f"more than {MAX_FILE_BYTES} bytes")
        lines = raw.decode("utf-8").splitlines()
        sections: Mapping[str, Any] = ConfigObj(
            lines, list_values=False, interpolation=False, raise_errors=True
        )
    except OSError as error:
        raise InstallationError(path, f"cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise InstallationError(path, "not UTF-8") from None
    except ConfigObjError as error:
        raise InstallationError(path, str(error).rstrip(".")) from None
    return sections


def build(raw: Mapping[str, Any], path: str) -> Installation:
    """Validate the sections of a file and return its settings.

    Args:
        raw: Sections of the file by name, each with the texts of its values by key.
        path: Path of the file, for error messages and as the origin of the settings that it contains.

    Raises:
        InstallationError: The file has a problem; the error describes the first one.
    """
    for name, values in raw.items():
        if not isinstance(values, Mapping):
            raise InstallationError(path, f"key '{name}' precedes the first section")
        if name not in SECTIONS:
            raise InstallationError(path, f"unknown section [{name}]; known: {', '.join(SECTIONS)}")
    sections: dict[str, Any] = {}
    settings: list[Setting] = []
    for name, section in SECTIONS.items():
        texts = raw.get(name, {})
        sections[name] = replace(section.defaults, **parse_values(section, name, texts, path))
        if conflict := section.find_conflict(sections[name]):
            raise InstallationError(path, conflict, name)
        for key in section.keys:
            origin = path if key.name in texts else "default"
            value = key.format(getattr(sections[name], key.field))
            settings.append(Setting(name, key.name, value, origin))
    return Installation(sections, tuple(settings))


def parse_values(section: Section, name: str, texts: Mapping[str, Any], path: str) -> dict[str, Any]:
    """Parse the values that a file sets in a section, and return them by name of the settings field.

    Raises:
        InstallationError: A key is unknown or has an invalid value.
    """
    known = [key.name for key in section.keys]
    for key_name in texts:
        if key_name not in known:
            raise InstallationError(path, f"unknown key '{key_name}'; known: {', '.join(known)}", name)
    values = {}
    for key in section.keys:
        if key.name in texts:
            try:
                values[key.field] = key.parse(str(texts[key.name]).strip())
            except InvalidValueError as error:
                raise InstallationError(path, f"{key.name}: {error}", name) from None
    return values
