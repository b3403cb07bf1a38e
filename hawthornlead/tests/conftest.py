"""Shared fixtures: broken invariants are fatal in every test."""

import gc

import pytest

from hawthornlead import invariants


@pytest.fixture(autouse=True)
def fatal_invariants(monkeypatch):
    """Raise on any broken invariant."""
    monkeypatch.setattr(invariants, "FATAL", True)


def pytest_runtest_setup(item):
    """Free what earlier tests left before a state machine's source is parsed.

    Hypothesis parses the source of a state machine. If the garbage collector runs
    meanwhile and logs a failed task that an earlier test left, Python 3.11 parses
    source within the parser and ends with "AST constructor recursion depth mismatch".
    """
    if item.name == "runTest":
        gc.collect()
