"""Builds the archive of compiled modules from which a gateway starts.

``python3 -S -m hawthornlead.gateway.archive_builds`` compiles the modules that a
gateway loads, whether its own, of libraries or of the standard library, into one file
that ``hawthornlead.code_archives`` imports from. It does nothing if the archive is up
to date.
"""

import importlib
import marshal
import os
import sys
from types import ModuleType

from ..code_archives import ARCHIVE, ROOT, open_archive, pack_archive

LIBRARIES = os.path.join(ROOT, "target", "deps")
# The program, and what it imports only once it runs.
PROGRAM = (
    "hawthornlead.early_signals",
    "hawthornlead.file_settings",
    "hawthornlead.logs",
    "hawthornlead.timers",
    "hawthornlead.gateway.gateways",
    "uvloop",
)


def loaded_modules() -> dict[str, ModuleType]:
    """Import the program; return the modules that are loaded then."""
    for name in PROGRAM:
        importlib.import_module(name)
    modules = {}
    for name, module in sys.modules.items():
        # ``typing`` enters classes, and some modules have a second name (os.path).
        if name == "__main__" or not isinstance(module, ModuleType):
            continue
        if module.__spec__ is not None and module.__spec__.name == name:
            modules[name] = module
    return modules


def build_archive(path: str = ARCHIVE) -> int:
    """Write an archive of the loaded modules; return how many it holds."""
    import ast
    from importlib.machinery import ExtensionFileLoader, SourceFileLoader
    from importlib.util import source_hash

    entries, codes, extensions = {}, {}, {}
    for name, module in loaded_modules().items():
        spec = module.__spec__
        if isinstance(spec.loader, ExtensionFileLoader):
            extensions[name] = _stored_path(spec.origin)
        if type(spec.loader) is not SourceFileLoader:
            continue
        stat = os.stat(spec.origin)
        with open(spec.origin, "rb") as file:
            source = file.read()
        tree = ast.parse(source, spec.origin)
        _drop_docstrings(tree)
        code = compile(tree, spec.origin, "exec", dont_inherit=True)
        codes[name] = marshal.dumps(code)
        entries[name] = (
            _stored_path(spec.origin),
            len(source),
            stat.st_mtime_ns,
            source_hash(source),
        )
    # A start during the build sees the old archive or the new one.
    part = f"{path}.{os.getpid()}"
    with open(part, "wb") as file:
        file.write(pack_archive(entries, extensions, codes))
    os.replace(part, path)
    return len(entries)


def _stored_path(path: str) -> str:
    """Return a path relative to the checkout if it lies there."""
    inside = ROOT + os.sep
    return path[len(inside) :] if path.startswith(inside) else path


def _drop_docstrings(tree) -> None:
    """Remove the docstrings of functions, a tenth of what a start unmarshals.

    Those of classes stay: without one, ``dataclasses`` composes it at each start.
    """
    import ast

    for node in ast.walk(tree):
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        if ast.get_docstring(node, clean=False) is None:
            continue
        node.body = node.body[1:] or [ast.copy_location(ast.Pass(), node.body[0])]


def is_up_to_date(path: str = ARCHIVE) -> bool:
    """Whether each module of the archive is compiled from its present source."""
    archive = open_archive(path)
    return archive is not None and all(map(archive.is_current, archive.modules))


def main() -> None:
    """Build the archive in ``target/`` unless it is up to date."""
    if is_up_to_date():
        return
    if LIBRARIES not in sys.path:
        sys.path.insert(1, LIBRARIES)
    count = build_archive()
    print(f"{ARCHIVE}: {count} modules, {os.path.getsize(ARCHIVE) / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
