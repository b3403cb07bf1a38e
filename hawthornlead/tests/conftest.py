"""Shared fixtures: broken invariants are fatal in every test."""

import pytest

from hawthornlead import invariants


@pytest.fixture(autouse=True)
def fatal_invariants(monkeypatch):
    """Raise on any broken invariant."""
    monkeypatch.setattr(invariants, "FATAL", True)
