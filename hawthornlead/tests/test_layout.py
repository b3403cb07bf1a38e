"""Tests of the layout: imports between the subpackages go one way."""

import ast
import re
import tomllib
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1]
FOLDERS = sorted(
    path.parent
    for path in PACKAGE.glob("*/__init__.py")
    if path.parent.name not in ("tests", "messages")
)
COMMON = {"messages"}
PUBLIC_NAMES = {"leases", "memory_stores", "owners", "peers"}
PROGRAM = {"main", "__main__"}
MOST_LINES = 400


def docstring(path):
    return ast.get_docstring(ast.parse(path.read_text())) or ""


def allowed(folder):
    """Return what the docstring of a subpackage says that it may import."""
    text = " ".join(docstring(folder / "__init__.py").split())
    listed = re.search(r"May import: (.+)\.$", text)
    assert listed, f"{folder.name} doesn't say what it may import"
    return set(listed.group(1).split(", "))


def imports(path):
    """Return the project's modules that a file imports, from its top folder on."""
    package = path.relative_to(PACKAGE).parts[:-1]
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.startswith("hawthornlead."):
                    yield alias.name.removeprefix("hawthornlead.")
            continue
        if not isinstance(node, ast.ImportFrom):
            continue
        module = node.module or ""
        if node.level:
            base = package[: len(package) - node.level + 1]
            full = ".".join([*base, *([module] if module else [])])
        elif module.split(".")[0] == "hawthornlead":
            full = module.removeprefix("hawthornlead").removeprefix(".")
        else:
            continue
        if full in ("", "gateway", "platform"):
            for alias in node.names:
                yield ".".join(part for part in (full, alias.name) if part)
            continue
        yield full


def subpackage(module):
    """Return the subpackage that a module lies in, empty for a common module."""
    first = module.split(".")[0]
    return first if (PACKAGE / first / "__init__.py").exists() else ""


@pytest.mark.parametrize("folder", FOLDERS, ids=lambda folder: folder.name)
def test_a_subpackage_imports_only_what_it_says(folder):
    may = allowed(folder)
    for path in sorted(folder.glob("*.py")):
        for module in imports(path):
            found = subpackage(module)
            if found in (folder.name, *COMMON):
                continue
            if not found:
                assert "the common modules" in may, f"{path.name} imports {module}"
                assert module not in PUBLIC_NAMES | PROGRAM, (
                    f"{path.name} imports {module}, which is for other programs"
                )
                continue
            assert found in may or module in may, f"{path.name} imports {module}"


def test_common_modules_import_no_subpackage():
    for path in sorted(PACKAGE.glob("*.py")):
        if path.stem in PUBLIC_NAMES | PROGRAM:
            continue
        for module in imports(path):
            assert subpackage(module) in ("", *COMMON), f"{path.name} imports {module}"


def test_messages_import_common_modules_only():
    for path in sorted((PACKAGE / "messages").glob("*.py")):
        for module in imports(path):
            assert subpackage(module) in ("", *COMMON), f"{path.name} imports {module}"


def test_what_subpackages_may_import_goes_round_in_no_circle():
    """``platform`` and ``gateway`` share the records, which import neither."""
    may = {
        folder.name: allowed(folder) & {f.name for f in FOLDERS} for folder in FOLDERS
    }
    while may:
        free = [name for name, needed in may.items() if not needed & may.keys()]
        assert free, f"a circle among {sorted(may)}"
        for name in free:
            del may[name]
    assert not list(imports(PACKAGE / "gateway" / "records.py"))


def test_no_file_has_grown_over_400_lines():
    long = [
        path.name
        for path in PACKAGE.rglob("*.py")
        if len(path.read_text().splitlines()) > MOST_LINES
    ]
    assert not long, "split these along their jobs"


def test_every_package_is_installed():
    """Guards against an installation that lacks a package of the source tree."""
    project = tomllib.loads((PACKAGE.parent / "pyproject.toml").read_text())
    found = [
        ".".join(path.parent.relative_to(PACKAGE.parent).parts)
        for path in PACKAGE.rglob("__init__.py")
    ]
    assert project["tool"]["setuptools"]["packages"] == sorted(found)
