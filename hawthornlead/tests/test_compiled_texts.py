"""Tests that results of an earlier compilation are those of compiling anew."""

import collections
import marshal
import re
import re._compiler as compiler
from inspect import signature

import pytest

from hawthornlead.compiled_texts import CompiledTexts, Recorder, install_texts

PATTERNS = [
    (r"(?P<name>[a-z\u0100-\u0200]+)\s*(x|y)?", 0),
    (r"(?P<name>[a-z\u0100-\u0200]+)\s*(x|y)?", re.IGNORECASE),
    (rb"([^\x00-\x1f]*)\r\n", re.DOTALL),
    ("  a  # a comment\n (?:b|c){2,3}?", re.VERBOSE | re.ASCII),
]
TEXTS = ["alpha  x", "ALPHA Y", "\u0101b", b"line\r\n", "abcb", ""]


@pytest.fixture
def recorded(monkeypatch):
    """Record, pass the results through an archive's format, and undo the changes."""
    ordinary = compiler.compile
    recorder = Recorder()
    for pattern, flags in PATTERNS:
        compiler.compile(pattern, flags)
    collections.namedtuple("Place", "name number", defaults=(7,))
    texts = recorder.texts()
    assert compiler.compile == ordinary
    assert "eval" not in vars(collections)
    monkeypatch.setattr(compiler, "compile", ordinary)
    monkeypatch.setattr(collections, "eval", eval, raising=False)
    return CompiledTexts(*marshal.loads(marshal.dumps(tuple(texts))))


def found(pattern, text):
    if isinstance(text, str) != isinstance(pattern.pattern, str):
        return None
    match = pattern.match(text)
    return match and (match.span(), match.groups(), match.groupdict())


def test_patterns_are_those_of_compiling_anew(recorded):
    anew = [compiler.compile(pattern, flags) for pattern, flags in PATTERNS]
    install_texts(recorded)
    for expected, (pattern, flags) in zip(anew, PATTERNS, strict=True):
        kept = compiler.compile(pattern, flags)
        # Equality of patterns compares their compiled code.
        assert kept == expected
        assert kept.groupindex == expected.groupindex
        for text in TEXTS:
            assert found(kept, text) == found(expected, text)


def test_results_are_used_for_what_was_recorded_only(recorded, monkeypatch):
    ordinary, compiled = compiler.compile, []

    def counting(pattern, flags=0):
        compiled.append(pattern)
        return ordinary(pattern, flags)

    monkeypatch.setattr(compiler, "compile", counting)
    install_texts(recorded)
    for pattern, flags in PATTERNS:
        compiler.compile(pattern, flags)
    assert compiled == []
    assert re.compile("another (pattern)").match("another pattern")
    with pytest.raises(re.error):
        re.compile("a wrong (pattern")
    assert compiled == ["another (pattern)", "a wrong (pattern"]


def test_constructors_are_those_of_compiling_anew(recorded):
    assert len(recorded.constructors) == 1
    install_texts(recorded)
    kept = collections.namedtuple("Place", "name number", defaults=(7,))
    other = collections.namedtuple("Other", "one")
    assert kept("here") == ("here", 7)
    assert kept(number=1, name="n") == ("n", 1)
    assert str(signature(kept)) == "(name, number=7)"
    assert kept.__new__.__qualname__ == "Place.__new__"
    assert other(one=2).one == 2
    with pytest.raises(TypeError):
        kept()
