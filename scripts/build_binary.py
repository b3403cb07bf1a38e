"""Packs hawthornlead and the libraries it runs on into one executable file."""

import importlib.metadata
import os
import py_compile
import re
import sys
import time
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
PYTHON = "python{}.{}".format(*sys.version_info)
SHEBANG = f"#!/usr/bin/env -S {PYTHON} -B -I\n".encode()
# A fixed time in the archive makes equal sources give equal bytes.
STAMP = (2020, 1, 1, 0, 0, 0)
LEFT_OUT = re.compile(r"(^|/)(tests?|__pycache__)/|\.pyi$|(^|/)py\.typed$|\.[ch]$")


def main() -> None:
    """Build into ``dist/`` and print size and time."""
    started = time.monotonic()
    out = Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "dist" / "hawthornlead"
    out.parent.mkdir(parents=True, exist_ok=True)
    files = {"__main__.py": ROOT / "scripts" / "binary_start.py"}
    for path in sorted((ROOT / "hawthornlead").rglob("*.py")):
        inside = path.relative_to(ROOT)
        # The bench and the tests are no part of what runs on a VM.
        if {"bench", "tests"} & set(inside.parts):
            continue
        files[str(inside)] = path
    for name in sorted(needed_distributions()):
        files.update(files_of(name))
    with open(out, "wb") as target:
        target.write(SHEBANG)
        with zipfile.ZipFile(target, "w", zipfile.ZIP_DEFLATED) as archive:
            put(archive, "built-for", PYTHON.encode())
            for inside, path in files.items():
                add(archive, inside, path)
    out.chmod(0o755)
    size = out.stat().st_size / 1e6
    print(f"{out}: {size:.1f} MB in {time.monotonic() - started:.1f} s")


def needed_distributions() -> set[str]:
    """Return the libraries that pyproject.toml names, and what these need."""
    text = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
    block = text.split("dependencies = [", 1)[1].split("]", 1)[0]
    waiting = [re.match(r"[\w.-]+", line)[0] for line in re.findall(r'"(.+?)"', block)]
    needed: set[str] = set()
    while waiting:
        name = waiting.pop()
        if name in needed:
            continue
        needed.add(name)
        for line in importlib.metadata.requires(name) or ():
            # A marker is an extra, or another platform or interpreter.
            if ";" in line and not applies(line.split(";", 1)[1]):
                continue
            waiting.append(re.match(r"[\w.-]+", line)[0])
    return needed


def applies(marker: str) -> bool:
    """Tell whether a requirement's marker holds on this interpreter."""
    from packaging.markers import Marker

    return Marker(marker.strip()).evaluate({"extra": ""})


def files_of(name: str) -> dict[str, Path]:
    """Return the files of a library by their place in the archive."""
    found = {}
    for entry in importlib.metadata.files(name) or ():
        inside = str(entry)
        if inside.startswith("..") or LEFT_OUT.search(inside):
            continue
        # Licences of what is packed go with it; other notes on the packing don't.
        if ".dist-info/" in inside and "licen" not in inside.lower():
            continue
        if inside.endswith(".pth"):
            continue
        found[inside] = Path(entry.locate())
    return found


def add(archive: zipfile.ZipFile, inside: str, path: Path) -> None:
    """Add a file, and with a source its compiled form, so that starts are quick."""
    put(archive, inside, path.read_bytes())
    if not inside.endswith(".py") or inside == "__main__.py":
        return
    compiled = ROOT / "build" / f"{os.getpid()}.pyc"
    compiled.parent.mkdir(exist_ok=True)
    py_compile.compile(
        str(path),
        str(compiled),
        dfile=inside,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    put(archive, inside + "c", compiled.read_bytes())
    compiled.unlink()


def put(archive: zipfile.ZipFile, inside: str, content: bytes) -> None:
    """Write one entry with a fixed time."""
    entry = zipfile.ZipInfo(inside, STAMP)
    entry.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(entry, content)


if __name__ == "__main__":
    main()
