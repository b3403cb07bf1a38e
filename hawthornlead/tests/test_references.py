"""Tests that the committed reference pages match the tables in the code."""

import re
from pathlib import Path

import pytest

from hawthornlead.errors import ANSWERS, ErrorKind
from hawthornlead.events import EventKind
from hawthornlead.operators.references import (
    PAGES,
    with_messages,
    with_modules,
    with_planned_marks,
)
from hawthornlead.settings import SETTINGS

DOCS = Path(__file__).parents[2] / "docs"
OPERATORS = sorted((DOCS / "operators").glob("*.md"))
PROSE = [*OPERATORS, DOCS.parent / "README.md", *DOCS.glob("*.md")]


@pytest.mark.parametrize("name", sorted(PAGES))
def test_committed_page_equals_table(name):
    # If this fails, run scripts/docs and commit what it wrote.
    assert (DOCS / name).read_text(encoding="utf-8") == PAGES[name]()


def test_protocol_page_lists_every_message():
    text = (DOCS / "protocol-vms.md").read_text(encoding="utf-8")
    assert text == with_messages(text), "run scripts/docs"


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)


def test_only_kinds_known_not_to_have_run_are_retried():
    for kind, answer in ANSWERS.items():
        assert not answer.retry or answer.ran.value == "not run", kind


@pytest.mark.parametrize("page", OPERATORS, ids=lambda page: page.name)
def test_operators_page_names_what_exists(page):
    # Guards against a page that names an event renamed in the code: an operator who
    # does not find that event in the logs concludes that there was no fault.
    text = page.read_text(encoding="utf-8")
    assert text == with_planned_marks(text), "run scripts/docs"
    known_events = {f"{kind.number} {kind.name}" for kind in EventKind}
    events = set(re.findall(r"\b\d{3} [A-Z]+_[A-Z_]+", text))
    if "(planned)" not in text:
        assert events <= known_events
    words = set(re.findall(r"`([a-z]+(?:[-_][a-z]+)+)`", text))
    kinds = {kind.value for kind in ErrorKind}
    settings = {name.lower() for name in SETTINGS}
    metrics = set(re.findall(r"hawthornlead_\w+", PAGES["metrics.md"]()))
    modules = set(re.findall(r"`(\w+)`", "".join(re.findall("Rests on.*", text))))
    assert words <= kinds | settings | metrics | modules


@pytest.mark.parametrize("page", PROSE, ids=lambda page: page.name)
def test_links_between_pages_resolve(page):
    text = page.read_text(encoding="utf-8")
    for link in re.findall(r"\]\(([^)#:]+)\)", text):
        assert (page.parent / link).exists(), link


def test_every_module_and_its_job_is_in_the_architecture():
    # If this fails, run scripts/docs and commit what it wrote.
    text = (DOCS / "design" / "architecture.md").read_text(encoding="utf-8")
    assert text == with_modules(text)
    assert "| `daemons` | " in text
