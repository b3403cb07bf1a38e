"""Results of compiling the regular expressions and constructors of a program's start.

Modules compile a hundred regular expressions when they are executed, and
``collections.namedtuple`` compiles a constructor for each of two hundred classes, which
is a fifteenth of a start's processor time. The results depend only on the compiled text
and the interpreter, so an archive made by the same interpreter keeps them::

    recorder = Recorder()        # at build time
    ...                          # import the program
    texts = recorder.texts()

    install_texts(texts)         # at the start

Any text that isn't among them is compiled as ever.
"""

import _sre
import collections
import re._compiler as compiler
from types import CodeType
from typing import Any, NamedTuple


class CompiledTexts(NamedTuple):
    """What each pattern with its flags, and each constructor, was compiled to."""

    patterns: dict[tuple[str | bytes, int], tuple]
    constructors: dict[str, CodeType]


class Recorder:
    """Records what is compiled from its creation on."""

    def __init__(self):
        self._patterns = {}
        self._constructors = {}
        self._compile = compiler.compile
        self._key: Any = None
        # ``re._compiler`` looks up the name ``_sre``, and ``collections`` ``eval``, in
        # its own namespace at each call.
        compiler.compile = self._record_pattern
        compiler._sre = self
        collections.eval = self._record_constructor

    def __getattr__(self, name: str):
        """Answer for the module ``_sre`` in all else."""
        return getattr(_sre, name)

    def compile(self, pattern, flags, code, groups, names, indexes):
        """Record the result of compiling a pattern in place of ``_sre.compile``."""
        # The numbers are of a subclass of int, which can't be marshalled.
        plain = [int(number) for number in code]
        result = (int(flags), plain, groups, dict(names), tuple(indexes))
        self._patterns[self._key] = result
        return _sre.compile(pattern, *result)

    def texts(self) -> CompiledTexts:
        """Stop recording, and return what has been compiled."""
        compiler.compile = self._compile
        compiler._sre = _sre
        del collections.eval
        return CompiledTexts(self._patterns, self._constructors)

    def _record_pattern(self, pattern, flags=0):
        self._key = (pattern, int(flags))
        return self._compile(pattern, flags)

    def _record_constructor(self, text, namespace):
        code = compile(text, "<string>", "eval", dont_inherit=True)
        self._constructors[text] = code
        return eval(code, namespace)


def install_texts(texts: CompiledTexts) -> None:
    """Take results from ``texts`` from now on."""
    ordinary = compiler.compile
    patterns, constructors = texts

    def compile_pattern(pattern, flags=0):
        found = None
        if isinstance(pattern, str | bytes):
            found = patterns.get((pattern, int(flags)))
        if found is None:
            return ordinary(pattern, flags)
        return _sre.compile(pattern, *found)

    compiler.compile = compile_pattern
    collections.eval = lambda text, namespace: eval(
        constructors.get(text, text), namespace
    )
