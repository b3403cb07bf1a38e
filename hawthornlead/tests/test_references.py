"""Tests that the reference pages equal the tables in the code."""

from pathlib import Path

import pytest

from hawthornlead.errors import ANSWERS, ErrorKind
from hawthornlead.references import PAGES

DOCS = Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize("name", sorted(PAGES))
def test_committed_page_equals_table(name):
    # If this fails, run scripts/docs and commit what it wrote.
    assert (DOCS / name).read_text(encoding="utf-8") == PAGES[name]()


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)


def test_only_kinds_known_not_to_have_run_are_retried():
    for kind, answer in ANSWERS.items():
        assert not answer.retry or answer.ran.value == "not run", kind
