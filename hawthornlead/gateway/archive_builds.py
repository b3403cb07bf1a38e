"""Builds the archive of compiled modules from which a gateway starts.

``python3 -S -m hawthornlead.gateway.archive_builds`` compiles the modules that a
gateway loads, whether its own, of libraries or of the standard library, into one file
that ``hawthornlead.code_archives`` imports from. It does nothing if the archive is up
to date. With ``-X no_debug_ranges`` the code has no columns for tracebacks, which are
an eighth of it; lines stay.
"""

import importlib
import marshal
import os
import sys
from types import ModuleType

from ..code_archives import ARCHIVE, ROOT, open_archive, pack_archive

LIBRARIES = os.path.join(ROOT, "target", "deps")
# The program, and what it imports only once it runs. The builder is among them so that
# an archive of a former builder isn't up to date.
PROGRAM = (
    "hawthornlead.gateway.archive_builds",
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


def compiled_module(path: str) -> tuple[tuple, bytes]:
    """Compile a source; return its entry without a place, and its marshalled code."""
    import ast
    from importlib.util import source_hash

    mtime_ns = os.stat(path).st_mtime_ns
    with open(path, "rb") as file:
        source = file.read()
    tree = ast.parse(source, path)
    _drop_unused(tree)
    code = compile(tree, path, "exec", dont_inherit=True)
    entry = (_stored_path(path), len(source), mtime_ns, source_hash(source))
    return entry, marshal.dumps(code)


def build_archive(path: str = ARCHIVE) -> int:
    """Write an archive of the loaded modules; return how many it holds."""
    from importlib.machinery import ExtensionFileLoader, SourceFileLoader

    entries, codes, extensions = {}, {}, {}
    for name, module in loaded_modules().items():
        spec = module.__spec__
        if isinstance(spec.loader, ExtensionFileLoader):
            extensions[name] = _stored_path(spec.origin)
        if type(spec.loader) is SourceFileLoader:
            entries[name], codes[name] = compiled_module(spec.origin)
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


def _drop_unused(tree) -> None:
    """Remove the docstrings and annotations of functions, which a start pays for.

    Docstrings of classes stay, since without one ``dataclasses`` composes it at each
    start, and so do the annotations of classes, which are fields. A decorator may read
    the annotations of its function, as that of ``functools.singledispatch`` does.
    """
    import ast

    for node in ast.walk(tree):
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        if ast.get_docstring(node, clean=False) is not None:
            node.body = node.body[1:] or [ast.copy_location(ast.Pass(), node.body[0])]
        if node.decorator_list:
            continue
        node.returns = None
        for child in ast.walk(node.args):
            if isinstance(child, ast.arg):
                child.annotation = None


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
