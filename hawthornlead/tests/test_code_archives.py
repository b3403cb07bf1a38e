"""Tests that modules come from an archive only if they are those of their sources."""

import inspect
import os
import pickle
import re
import shutil
import subprocess
import sys
import threading
import traceback
from importlib.util import module_from_spec
from pathlib import Path

import pytest

from hawthornlead import code_archives
from hawthornlead.code_archives import ArchiveFinder, open_archive, pack_archive
from hawthornlead.gateway import archive_builds
from hawthornlead.gateway.archive_builds import compiled_module

from .path_costs import Command, PathFleet, play

ROOT = Path(__file__).parents[2]
SOURCE = '''"""A module of a test."""
from typing import NamedTuple

RUNS = []
RUNS.append(__name__)


class Place(NamedTuple):
    """A class with fields."""

    name: str
    number: int = 7


def fail(number: int) -> None:
    """Fail."""
    raise ValueError(number)  # the line that failed
'''


@pytest.fixture
def sample(tmp_path, monkeypatch):
    """Return the path of a module that an archive beside it holds."""
    path = tmp_path / "archived_sample.py"
    path.write_text(SOURCE)
    entry, code = compiled_module(str(path))
    content = pack_archive({path.stem: entry}, {}, {path.stem: code})
    (tmp_path / "archive").write_bytes(content)
    monkeypatch.syspath_prepend(tmp_path)
    return path


def find(sample):
    finder = ArchiveFinder(open_archive(str(sample.parent / "archive")))
    return finder.find_spec(sample.stem)


def load(sample, monkeypatch):
    spec = find(sample)
    module = module_from_spec(spec)
    monkeypatch.setitem(sys.modules, sample.stem, module)
    spec.loader.exec_module(module)
    return module


def test_a_module_of_the_archive_is_as_one_of_its_source(sample, monkeypatch):
    # What is left out of the code shows in no traceback, source or pickle.
    module = load(sample, monkeypatch)
    assert module.__file__ == str(sample)
    with pytest.raises(ValueError) as raised:
        module.fail(1)
    shown = "".join(traceback.format_exception(raised.value))
    assert "raise ValueError(number)  # the line that failed" in shown
    assert inspect.getsource(module.fail).startswith("def fail(number: int)")
    place = module.Place("here")
    assert pickle.loads(pickle.dumps(place)) == place == ("here", 7)
    assert module.Place.__annotations__ == {"name": str, "number": int}


def damaged(content):
    header = len(code_archives.archive_prefix()) + 16
    other = content.replace(sys.version.encode(), b"3.10" + sys.version.encode()[4:])
    wrong = content[:header] + bytes([content[header] ^ 1]) + content[header + 1 :]
    return {
        "empty": b"",
        "another format": b"x" + content,
        "another interpreter": other,
        "a cut prefix": content[:20],
        "truncated": content[:-1],
        "too long": content + b"x",
        "a wrong header": wrong,
    }


def test_an_archive_that_does_not_fit_is_refused(sample):
    # Code of another interpreter, or a part of it, can crash the process.
    path = sample.parent / "archive"
    content = path.read_bytes()
    for kind, wrong in damaged(content).items():
        path.write_bytes(wrong)
        assert open_archive(str(path)) is None, kind
    path.unlink()
    assert open_archive(str(path)) is None
    before = list(sys.meta_path)
    assert not code_archives.install_archive(str(path))
    assert sys.meta_path == before


def edit(path):
    stat = path.stat()
    path.write_text(SOURCE.replace("= 7", "= 8"))
    os.utime(path, ns=(stat.st_atime_ns, stat.st_mtime_ns + 1))


@pytest.mark.parametrize(
    "change",
    [
        lambda path: path.write_text(SOURCE + "\n"),
        edit,
        lambda path: path.unlink(),
        lambda path: sys.path.remove(str(path.parent)),
    ],
    ids=["longer", "of the same length", "gone", "not on the path"],
)
def test_a_stale_module_is_left_to_the_ordinary_import(sample, change):
    # A VM that ran yesterday's code after an update would look like a failed update.
    assert find(sample) is not None
    change(sample)
    assert find(sample) is None


def test_a_copied_source_with_another_time_is_current(sample):
    os.utime(sample, (1, 1))
    assert find(sample) is not None


def test_a_checkout_may_be_moved_after_the_build(tmp_path, monkeypatch):
    # Modules of the old place must not be used, nor be named by tracebacks.
    old, new = tmp_path / "old", tmp_path / "new"
    old.mkdir()
    path = old / "moved_sample.py"
    path.write_text(SOURCE)
    monkeypatch.setattr(archive_builds, "ROOT", str(old))
    entry, code = compiled_module(str(path))
    (old / "archive").write_bytes(
        pack_archive({path.stem: entry}, {}, {path.stem: code})
    )
    shutil.copytree(old, new)
    monkeypatch.setattr(code_archives, "ROOT", str(new))
    monkeypatch.syspath_prepend(new)
    module = load(new / path.name, monkeypatch)
    assert module.__file__ == str(new / path.name)
    assert module.fail.__code__.co_filename == str(new / path.name)


def test_a_deferred_module_is_executed_once_at_its_first_use(sample, monkeypatch):
    monkeypatch.setattr(code_archives, "DEFERRED", {sample.stem})
    module = load(sample, monkeypatch)
    assert "RUNS" not in vars(module)
    found = []
    threads = [
        threading.Thread(target=lambda: found.append(module.RUNS)) for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert found == [[sample.stem]] * 4
    with pytest.raises(AttributeError):
        _ = module.missing


def test_a_deferred_module_that_fails_fails_again(sample, monkeypatch):
    # The first failure is that of the module; a later one mustn't hide it.
    monkeypatch.setattr(code_archives, "DEFERRED", {sample.stem})
    sample.write_text("import missing_library\n")
    entry, code = compiled_module(str(sample))
    content = pack_archive({sample.stem: entry}, {}, {sample.stem: code})
    (sample.parent / "archive").write_bytes(content)
    module = load(sample, monkeypatch)
    for _ in range(2):
        with pytest.raises(ModuleNotFoundError, match="missing_library"):
            _ = module.RUNS


async def test_a_gateway_starts_from_its_archive_and_serves(tmp_path, monkeypatch):
    """The build runs in a clean checkout, and a second time it does nothing."""
    ignored = shutil.ignore_patterns("tests", "bench", "__pycache__")
    shutil.copytree(ROOT / "hawthornlead", tmp_path / "hawthornlead", ignore=ignored)
    libraries = Path(next(path for path in sys.path if path.endswith("site-packages")))
    (tmp_path / "target").mkdir()
    (tmp_path / "target" / "deps").symlink_to(libraries)
    monkeypatch.delenv("PYTHONPATH", raising=False)
    build = [sys.executable, "-S", "-B", "-X", "no_debug_ranges"]
    build += ["-m", "hawthornlead.gateway.archive_builds"]
    for shown in (b"modules", b""):
        built = subprocess.run(build, cwd=tmp_path, capture_output=True, check=True)
        assert shown in built.stdout
        assert bool(built.stdout) == bool(shown)
    assert not list((tmp_path / "hawthornlead").rglob("*.pyc"))
    with open(tmp_path / "errors", "w+b") as errors:
        command = Command(("-S", "-v"), (libraries,), errors.fileno())
        async with PathFleet(tmp_path, 1, 1, "", command) as fleet:
            for kind in ("stream", "plain"):
                assert await play(fleet, kind, 8, 4) == 8
        errors.seek(0)
        lines = errors.read().decode()
    imported = dict(re.findall(r"^import '(\S+)' # (.*)", lines, re.MULTILINE))
    assert "Archived" in imported["hawthornlead.gateway.gateways"]
    assert "Archived" in imported["tornado.httpserver"]
    assert "Archived" in imported["ssl"]
    assert "Deferred" in imported["html"]
    # These are loaded only when a deferred module is executed.
    assert not {"html.entities", "zipfile", "_curses", "_pickle"} & imported.keys()
    assert "Traceback" not in lines


def test_an_archive_of_a_former_builder_is_built_anew():
    """An archive holds code as its builder made it, with the faults that this had.

    The builder runs as the main module, so that the archive didn't hold its source and
    stayed up to date when only the builder changed.
    """
    name = "hawthornlead.gateway.archive_builds"
    program = (
        "import runpy\n"
        f"built = runpy.run_module({name!r}, run_name='builder')\n"
        f"print({name!r} in built['loaded_modules']())"
    )
    command = [sys.executable, "-c", program]
    ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ran.stdout.strip() == "True", ran.stderr
