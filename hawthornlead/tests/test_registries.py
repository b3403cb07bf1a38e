"""Tests of registries."""

import pytest

from hawthornlead.registries import Registry, UnknownName


def test_entries_are_found_by_name_and_listed_in_order():
    registry = Registry("router")
    register = registry.register

    @register("nearest")
    class Nearest:
        pass

    @register("first")
    class First:
        pass

    assert registry["nearest"] is Nearest
    assert list(registry) == ["nearest", "first"]


def test_a_duplicate_name_is_an_error_and_the_first_entry_stays():
    registry = Registry("router")
    registry.register("nearest")(1)
    with pytest.raises(ValueError, match="router.*'nearest'"):
        registry.register("nearest")(2)
    assert registry["nearest"] == 1


def test_the_error_for_an_unknown_name_lists_the_known_ones():
    registry = Registry("router")
    registry.register("nearest")(1)
    registry.register("first")(2)
    with pytest.raises(UnknownName) as raised:
        registry["last"]
    assert str(raised.value) == "no router is named 'last'; known: first, nearest"
    assert isinstance(raised.value, KeyError)
    assert registry.get("last") is None
    assert "last" not in registry
