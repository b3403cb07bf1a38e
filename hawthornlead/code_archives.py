"""Imports a program's modules from one archive of compiled code.

A start reads several hundred modules, each looked for in several folders and read from
a file of its own. ``install_archive`` makes the modules of an archive importable from
that single file. ``hawthornlead.gateway.archive_builds`` makes it; its format::

    SIGNATURE, version of the interpreter, NUL
    CRC-32 of the header (4 bytes), its length (4), length of the file (8), big-endian
    header: a marshalled tuple of the entries of modules and of compiled extensions
    marshalled code objects

An archive for another interpreter, a truncated one or one with a damaged header is
refused as a whole. An entry is used only if its source is where the ordinary import
would find it, with the length and modification time for which it was compiled; if only
the time differs, as after copying, the content must have the same hash. In all other
cases the ordinary import loads the module, so a missing or stale archive costs time
only. Bytecode files (``.pyc``) give the same guarantee.

Modules in ``DEFERRED`` are executed at their first use.

This module is imported from its own file at each start, so it imports nothing that an
interpreter doesn't load anyway.
"""

import _imp
import marshal
import os
import sys
import threading
from importlib.machinery import ExtensionFileLoader, ModuleSpec, SourceFileLoader
from importlib.util import source_hash, spec_from_file_location
from zlib import crc32

SIGNATURE = b"hawthornlead code 1\0"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ARCHIVE = os.path.join(ROOT, "target", "gateway.code")
_LENGTHS = 16
# Modules that libraries import as a whole for features which a gateway doesn't use: log
# files, terminals, versions, files sent by a web server. They are executed when
# something asks them for a name, which no request does. A module of which a name is
# imported can't wait and doesn't belong here.
DEFERRED = frozenset(
    (
        "asyncio.sslproto",
        "curses",
        "glob",
        "gzip",
        "html",
        "http.cookies",
        "importlib.metadata",
        "locale",
        "logging.handlers",
        "mimetypes",
        "multiprocessing.reduction",
        "pickle",
        "shutil",
        "textwrap",
    )
)


class Archive:
    """An archive that this interpreter can use, kept open for reading.

    A module's entry is a plain tuple, as it is unmarshalled: the path of its source,
    relative to ``ROOT`` or absolute, the source's size, modification time and hash,
    and the offset and length of its code.
    """

    def __init__(self, descriptor: int, modules: dict, extensions: dict[str, str]):
        self._descriptor = descriptor
        self.modules = modules
        self.extensions = extensions

    def code_bytes(self, name: str) -> bytes:
        """Return the marshalled code of a module."""
        *_, offset, length = self.modules[name]
        return os.pread(self._descriptor, length, offset)

    def is_current(self, name: str) -> bool:
        """Whether a module's source is still the one that was compiled."""
        relative, size, mtime_ns, digest, _, _ = self.modules[name]
        path = os.path.join(ROOT, relative)
        try:
            stat = os.stat(path)
            if stat.st_size != size:
                return False
            if stat.st_mtime_ns == mtime_ns:
                return True
            with open(path, "rb") as source:
                return source_hash(source.read()) == digest
        except OSError:
            return False


class ArchivedLoader(SourceFileLoader):
    """Loads a module as from its source, with its code from the archive."""

    def __init__(self, name: str, path: str, archive: Archive):
        super().__init__(name, path)
        self._archive = archive

    def get_code(self, fullname: str):
        """Return the module's code."""
        content = self._archive.code_bytes(fullname)
        code = marshal.loads(content)
        # Another path is stored if the checkout has been moved since the build.
        _imp._fix_co_filename(code, self.path)
        return code


class DeferredLoader(ArchivedLoader):
    """Executes a module when it is asked for a name that isn't there yet."""

    def exec_module(self, module) -> None:
        """Let the module execute itself at its first use, once, in any thread."""
        lock = threading.RLock()
        running = False

        def find_name(name: str):
            nonlocal running
            with lock:
                # A module may ask itself for a name that it doesn't have yet.
                if running:
                    raise AttributeError(name)
                if vars(module).get("__getattr__") is find_name:
                    running = True
                    try:
                        super(DeferredLoader, self).exec_module(module)
                    finally:
                        running = False
                    if vars(module)["__getattr__"] is find_name:
                        del module.__getattr__
            return getattr(module, name)

        module.__getattr__ = find_name


class ArchiveFinder:
    """Finds the modules of an archive for the import system."""

    def __init__(self, archive: Archive):
        self._archive = archive
        self._searched = {os.path.realpath(folder) for folder in sys.path}
        self._are_searched: dict[str, bool] = {}

    def find_spec(self, name: str, path=None, target=None) -> ModuleSpec | None:
        """Return how to load a module, or None to leave it to the ordinary import."""
        entry = self._archive.modules.get(name)
        if entry is None:
            return self._extension_spec(name, path)
        location = os.path.join(ROOT, entry[0])
        folder, _, file = location.rpartition("/")
        is_package = file == "__init__.py"
        parent = os.path.dirname(folder) if is_package else folder
        if not self._is_searched(parent, path) or not self._archive.is_current(name):
            return None
        kind = DeferredLoader if name in DEFERRED else ArchivedLoader
        loader = kind(name, location, self._archive)
        return spec_from_file_location(
            name,
            location,
            loader=loader,
            submodule_search_locations=[folder] if is_package else None,
        )

    def _extension_spec(self, name: str, path) -> ModuleSpec | None:
        relative = self._archive.extensions.get(name)
        if relative is None:
            return None
        location = os.path.join(ROOT, relative)
        if not self._is_searched(os.path.dirname(location), path):
            return None
        if not os.path.exists(location):
            return None
        loader = ExtensionFileLoader(name, location)
        return spec_from_file_location(name, location, loader=loader)

    def _is_searched(self, folder: str, path) -> bool:
        """Whether the ordinary import would look into a folder.

        ``PYTHONPATH`` may name it relatively or through a link.
        """
        if path is not None:
            return folder in path
        known = self._are_searched.get(folder)
        if known is None:
            known = os.path.realpath(folder) in self._searched
            self._are_searched[folder] = known
        return known


def archive_prefix() -> bytes:
    """Return how an archive for this interpreter begins."""
    return SIGNATURE + sys.version.encode() + b"\0"


def open_archive(path: str = ARCHIVE) -> Archive | None:
    """Open an archive; return None if there is none for this interpreter."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return None
    header = _read_header(descriptor)
    if header is None:
        os.close(descriptor)
        return None
    modules, extensions = marshal.loads(header)
    return Archive(descriptor, modules, extensions)


def _read_header(descriptor: int) -> bytes | None:
    prefix = archive_prefix()
    start = os.pread(descriptor, len(prefix) + _LENGTHS, 0)
    if len(start) != len(prefix) + _LENGTHS or not start.startswith(prefix):
        return None
    lengths = start[len(prefix) :]
    checksum = int.from_bytes(lengths[:4], "big")
    size = int.from_bytes(lengths[4:8], "big")
    if os.fstat(descriptor).st_size != int.from_bytes(lengths[8:], "big"):
        return None
    header = os.pread(descriptor, size, len(start))
    return header if crc32(header) == checksum else None


def pack_archive(modules: dict, extensions: dict[str, str], codes: dict) -> bytes:
    """Return an archive's content.

    ``modules`` holds the entries without their places, ``codes`` the marshalled code.
    """
    # Places are counted from the end of the header, whose length depends on them, so
    # it is packed anew until they hold.
    start = 0
    while True:
        placed, offset = {}, start
        for name, entry in modules.items():
            placed[name] = (*entry, offset, len(codes[name]))
            offset += len(codes[name])
        header = marshal.dumps((placed, extensions))
        prefix = archive_prefix()
        if start == len(prefix) + _LENGTHS + len(header):
            break
        start = len(prefix) + _LENGTHS + len(header)
    lengths = crc32(header).to_bytes(4, "big") + len(header).to_bytes(4, "big")
    lengths += offset.to_bytes(8, "big")
    return b"".join((prefix, lengths, header, *codes.values()))


def install_archive(path: str = ARCHIVE) -> bool:
    """Import modules from an archive from now on; return whether there is one."""
    archive = open_archive(path)
    if archive is None:
        return False
    sys.meta_path.insert(0, ArchiveFinder(archive))
    return True
