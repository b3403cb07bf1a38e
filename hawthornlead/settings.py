"""Reads settings from an INI file over their defaults, and checks them.

The table of all settings is in ``setting_rows``. ``read_settings`` reads and checks a
file; ``configure_settings`` checks settings that a program sets. All errors are
reported at once, each with its section, its key, what was found and what is allowed. An
unknown section or key is an error.
"""

import configparser
import ipaddress
from collections.abc import Callable
from typing import Any, NamedTuple

from result import Err, Ok, Result

from .registries import Registry
from .setting_fits import FITS
from .setting_rows import FREE_SECTIONS, SETTINGS, Setting

Settings = dict[str, Any]


class SettingError(NamedTuple):
    """One error in a settings file; ``section`` is empty for the file as a whole."""

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        if not self.section:
            return f"{self.found}; allowed: {self.allowed}"
        place = f"[{self.section}] {self.key}".rstrip()
        return f"{place}: found {self.found!r}, allowed: {self.allowed}"


READERS: Registry[Callable[[str, Setting], Any]] = Registry("reader of settings")
# On an invalid text a reader raises ``ValueError`` with a text on what is allowed.
reader = READERS.register


@reader("text")
def _read_text(text: str, setting: Setting) -> str:
    return text


@reader("switch")
def _read_switch(text: str, setting: Setting) -> bool:
    states = configparser.ConfigParser.BOOLEAN_STATES
    if text.lower() not in states:
        raise ValueError("yes, no, true, false, on, off, 1 or 0")
    return states[text.lower()]


@reader("name")
def _read_name(text: str, setting: Setting) -> str:
    if not text or not all(char.isalnum() or char in "-_." for char in text):
        raise ValueError("letters, digits, '-', '_' and '.'")
    return text


@reader("address")
def _read_address(text: str, setting: Setting) -> str:
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = bool(separator) and 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("IP:PORT with an IP number")
    return text


@reader("optional_address")
def _read_optional_address(text: str, setting: Setting) -> str:
    return _read_address(text, setting) if text else text


@reader("number")
def _read_number(text: str, setting: Setting) -> float:
    return _bounded(float, text, setting)


@reader("integer")
def _read_integer(text: str, setting: Setting) -> int:
    return _bounded(int, text, setting)


@reader("choice")
def _read_choice(text: str, setting: Setting) -> str:
    if text not in setting.choices:
        raise ValueError("one of " + ", ".join(setting.choices))
    return text


def _bounded(convert, text: str, setting: Setting):
    allowed = f"a number from {setting.low} to {setting.high}"
    try:
        number = convert(text)
    except ValueError:
        raise ValueError(allowed) from None
    if not setting.low <= number <= setting.high:
        raise ValueError(allowed)
    return number


def default_settings(**overrides: Any) -> Settings:
    """Return the defaults with ``overrides`` by upper-case name, for embedding."""
    settings = {name: setting.default for name, setting in SETTINGS.items()}
    settings.update({name: {} for name in FREE_SECTIONS.values()})
    settings.update(overrides)
    return settings


def read_settings(path: str) -> Result[Settings, list[SettingError]]:
    """Read an INI file over the defaults and check the settings.

    The error contains all errors of the file, not just the first.
    """
    # A file can't have a section with an empty name. So [DEFAULT] is an unknown section
    # like any other, and its keys do not apply to all sections.
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = getattr(error, "strerror", None) or " ".join(str(error).split())
        unreadable = SettingError("", "", f"{path}: {reason}", "a readable INI file")
        return Err([unreadable])
    settings = default_settings()
    errors = _read_sections(parser, settings)
    errors += _bad_operators(settings["OPERATORS"])
    reported = {(error.section, error.key) for error in errors}
    errors += _missing(settings, reported)
    errors += _conflicts(settings, reported)
    if errors:
        return Err(errors)
    return Ok(settings)


def configure_settings(settings: Settings) -> Result[Settings, list[SettingError]]:
    """Check the operators' keys, and how settings fit together."""
    errors = _bad_operators(settings["OPERATORS"])
    errors += _conflicts(settings, reported=set())
    if errors:
        return Err(errors)
    return Ok(settings)


def _conflicts(settings: Settings, reported: set) -> list[SettingError]:
    """Return settings that do not fit together, except for keys in ``reported``."""
    errors = []
    for lesser, greater, factor in FITS:
        row = SETTINGS[lesser]
        keys = {(row.section, lesser.lower())}
        keys.add((SETTINGS[greater].section, greater.lower()))
        if keys & reported or settings[lesser] * factor <= settings[greater]:
            continue
        allowed = f"at most {greater.lower()} ({settings[greater]}) / {factor}"
        found = str(settings[lesser])
        errors.append(SettingError(row.section, lesser.lower(), found, allowed))
    if bool(settings["TLS_CERTIFICATE"]) != bool(settings["TLS_KEY"]):
        errors.append(SettingError("tls", "tls_key", "one", "both files or neither"))
    return errors


def _read_sections(parser, settings: Settings) -> list[SettingError]:
    known = {row.section for row in SETTINGS.values()}
    errors = []
    for section in parser.sections():
        if section in FREE_SECTIONS:
            settings[FREE_SECTIONS[section]] = dict(parser[section])
            continue
        if section not in known:
            allowed = "one of " + ", ".join(sorted(known | set(FREE_SECTIONS)))
            errors.append(SettingError(section, "", "an unknown section", allowed))
            continue
        for key, text in parser[section].items():
            errors += _read_key(section, key, text, settings)
    return errors


def _read_key(section, key, text, settings: Settings) -> list[SettingError]:
    row = SETTINGS.get(key.upper())
    if row is None or row.section != section:
        names = [n.lower() for n, r in SETTINGS.items() if r.section == section]
        return [SettingError(section, key, "an unknown key", ", ".join(names))]
    try:
        settings[key.upper()] = READERS[row.kind](text, row)
    except ValueError as error:
        return [SettingError(section, key, text, str(error))]
    return []


def _bad_operators(operators: dict[str, str]) -> list[SettingError]:
    """Return an error for each operator whose public key is invalid.

    With this check a mistyped key is reported together with all other errors, and does
    not end the daemon during its start.
    """
    if not operators:
        return []
    # Imported only if there are operators to check: a gateway has none, and starts
    # faster without the library for signatures.
    from .signatures import check_operators

    errors = []
    for name, text in operators.items():
        if check_operators({name: text}):
            allowed = "a public key, as `hawthornlead keys show FILE` prints it"
            errors.append(SettingError("operators", name, text, allowed))
    return errors


def _missing(settings: Settings, reported: set) -> list[SettingError]:
    errors = []
    for name, row in SETTINGS.items():
        if settings[name] is not None or (row.section, name.lower()) in reported:
            continue
        errors.append(SettingError(row.section, name.lower(), "nothing", row.text))
    return errors
