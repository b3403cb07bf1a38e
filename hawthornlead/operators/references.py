"""Reference pages generated from the tables in the code.

``scripts/docs`` writes the pages, and a test fails if a committed page differs from
its table. The script also marks, in pages written by hand, the modules that a page
refers to and that do not exist yet. A page is a function registered in ``PAGES``::

    text = PAGES["events.md"]()
"""

import ast
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from prometheus_client import Metric

from ..errors import ANSWERS, ErrorKind
from ..events import EventKind
from ..messages import MESSAGES
from ..metrics import Metrics
from ..registries import Registry
from ..settings import FITS, FREE_SECTIONS, SETTINGS, Setting

PAGES: Registry[Callable[[], str]] = Registry("reference page")
page = PAGES.register

GENERATED = "<!-- Made by scripts/docs from hawthornlead/{}.py. -->"

PACKAGE = Path(__file__).parents[1]

MESSAGES_MARK = "<!-- messages -->"
MODULES_MARK = "<!-- modules -->"
END_MARK = "<!-- end -->"


@page("settings.md")
def settings_page() -> str:
    """Return the page of all settings by section, with the bounds between them."""
    lines = _head("Settings", "setting_rows")
    lines += [
        "A settings file is INI. `hawthornlead check-settings FILE` prints the values",
        "in effect, or all errors at once. A key without a default must be given. An",
        "unknown section or key is an error. For embedding, the same settings are a",
        "dict by upper-case name: `default_settings(GRANT_SIZE=4)`.",
    ]
    for section in dict.fromkeys(row.section for row in SETTINGS.values()):
        rows = [
            (f"`{name.lower()}`", _default(row), _allowed(row), row.text)
            for name, row in SETTINGS.items()
            if row.section == section
        ]
        lines += ["", f"## [{section}]", ""]
        lines += _table(("key", "default", "allowed", "meaning"), rows)
    for section, name in FREE_SECTIONS.items():
        text = f"Holds any key; read as one table under `{name}`."
        lines += ["", f"## [{section}]", "", text]
    lines += ["", "## How values must fit", ""]
    fits = [
        (f"`{lesser.lower()}` x {factor}", f"`{greater.lower()}`")
        for lesser, greater, factor in FITS
    ]
    lines += _table(("this", "is at most"), fits)
    lines += ["", "`tls_certificate` and `tls_key` are given both or neither."]
    return _text(lines)


@page("events.md")
def events_page() -> str:
    """Return the catalogue of numbered events."""
    lines = _head("Events", "events")
    lines += [
        "Each event is a log line and a record in the ring of its process, from which",
        "`hawthornlead timeline` reads. Numbers are never reused. The same table is",
        "printed by `hawthornlead events`.",
        "",
    ]
    lines += _table(("number", "name", "level", "meaning"), event_rows())
    return _text(lines)


@page("errors.md")
def errors_page() -> str:
    """Return the list of all error kinds with the answer to each."""
    lines = _head("Errors", "errors")
    lines += [
        "Every refusal is of one of these kinds. `ran` says what is known about",
        "whether the request ran on a target; only `not run` promises that it did not.",
        "`retry` says whether the layer itself may try another target.",
        "",
    ]
    rows = []
    for kind in ErrorKind:
        answer = ANSWERS[kind]
        retry = "yes" if answer.retry else "no"
        rows.append((f"`{kind.value}`", str(answer.status), answer.ran.value, retry))
    lines += _table(("kind", "status", "ran", "retry"), rows)
    return _text(lines)


@page("metrics.md")
def metrics_page() -> str:
    """Return the list of metrics that `/metrics` exposes."""
    lines = _head("Metrics", "metrics")
    families = sorted(Metrics().registry.collect(), key=lambda family: family.name)
    rows = [
        (f"`{_metric_name(family)}`", family.type, family.documentation)
        for family in families
    ]
    lines += _table(("name", "type", "meaning"), rows)
    return _text(lines)


def with_planned_marks(text: str) -> str:
    """Return a page with ``(planned)`` after each module that does not exist yet."""
    lines = []
    for line in text.split("\n"):
        if line.startswith("Rests on: "):
            modules = re.findall(r"`(\w+)`", line)
            line = "Rests on: " + ", ".join(_marked(module) for module in modules)
        lines.append(line)
    return "\n".join(lines)


def with_messages(text: str) -> str:
    """Return a page with the table of messages between its two marks."""
    rows = []
    for name, cls in MESSAGES.items():
        meaning = (cls.__doc__ or "").split("\n")[0]
        rows.append((f"`{name}`", ", ".join(cls._fields), meaning))
    return _between(text, MESSAGES_MARK, _table(("name", "fields", "meaning"), rows))


def with_modules(text: str) -> str:
    """Return a page with the table of all modules and their jobs between its marks."""
    tables = [*_modules_table("The common modules.", PACKAGE)]
    for package in _packages():
        docstring = _docstring(package / "__init__.py")
        tables += ["", *_modules_table(f"`{package.name}`: {docstring}", package)]
    return _between(text, MODULES_MARK, tables)


def _packages() -> list[Path]:
    """Return the folders of all subpackages except the tests."""
    return [
        path.parent
        for path in sorted(PACKAGE.glob("*/__init__.py"))
        if path.parent.name != "tests"
    ]


def _modules_table(text: str, folder: Path) -> list[str]:
    rows = []
    for path in sorted(folder.glob("*.py")):
        if path.stem.startswith("__"):
            continue
        rows.append((f"`{path.stem}`", _docstring(path).split("\n")[0]))
    return ["", text, "", *_table(("module", "job"), rows)]


def _docstring(path: Path) -> str:
    return ast.get_docstring(ast.parse(path.read_text(encoding="utf-8"))) or ""


def _between(text: str, mark: str, lines: list[str]) -> str:
    head, _, rest = text.partition(mark)
    _, _, tail = rest.partition(END_MARK)
    return "\n".join([head + mark, *lines, END_MARK + tail])


def _marked(module: str) -> str:
    exists = any(PACKAGE.rglob(f"{module}.py"))
    return f"`{module}`" if exists else f"`{module}` (planned)"


class EventRow(NamedTuple):
    """A printed row of the event catalogue."""

    number: str
    name: str
    level: str
    meaning: str


def event_rows() -> list[EventRow]:
    """Return all events, sorted by number."""
    kinds = sorted(EventKind, key=lambda kind: kind.number)
    return [
        EventRow(str(kind.number), kind.name, kind.level, kind.meaning)
        for kind in kinds
    ]


def _metric_name(family: Metric) -> str:
    return family.name + ("_total" if family.type == "counter" else "")


def _default(row: Setting) -> str:
    if row.default is None:
        return "must be given"
    if isinstance(row.default, bool):
        return "`yes`" if row.default else "`no`"
    return f"`{row.default}`" if row.default != "" else "empty"


def _allowed(row: Setting) -> str:
    if row.choices:
        return ", ".join(row.choices)
    if row.kind == "switch":
        return "yes, no"
    if row.low is None:
        return row.kind.replace("_", " ")
    return f"{row.kind}, {row.low:g} to {row.high:g}"


def _head(title: str, module: str) -> list[str]:
    return [f"# {title}", "", GENERATED.format(module), ""]


def _table(heads: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> list[str]:
    lines = [_row(heads), _row(("---",) * len(heads))]
    lines += [_row(row) for row in rows]
    return lines


def _row(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _text(lines: list[str]) -> str:
    return "\n".join(lines) + "\n"
