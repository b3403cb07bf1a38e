"""Start of the one binary: ``__main__`` of the archive that scripts/build makes.

Pure modules are imported from the archive by ``zipimport``. A compiled module can't
be: the loader of the C library wants a file name. Each is copied into an anonymous
file in memory, which no path names, no other process sees and no disk holds, and
loaded by its name under /proc/self/fd.
"""

import os
import sys
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location

ARCHIVE = __spec__.loader


class CompiledFinder:
    """Finds compiled modules in the archive that this process runs from."""

    def __init__(self, archive):
        self._archive = archive

    def find_spec(self, name, path=None, target=None) -> ModuleSpec | None:
        """Return how to load the module ``name``, or None if it isn't compiled."""
        inside = name.replace(".", "/")
        for suffix in EXTENSION_SUFFIXES:
            try:
                content = self._archive.get_data(inside + suffix)
            except OSError:
                continue
            return self._spec(name, content)
        return None

    def _spec(self, name: str, content: bytes) -> ModuleSpec:
        # The descriptor stays open: the loader tells libraries apart by name, so a
        # second one under a reused number would be taken for the first.
        number = os.memfd_create(name, os.MFD_CLOEXEC)
        with open(number, "wb", closefd=False) as file:
            file.write(content)
        path = f"/proc/self/fd/{number}"
        return spec_from_file_location(
            name, path, loader=ExtensionFileLoader(name, path)
        )


built_for = ARCHIVE.get_data("built-for").decode()
if "python{}.{}".format(*sys.version_info) != built_for:
    sys.exit(f"hawthornlead: this file is built for {built_for}")

sys.dont_write_bytecode = True
sys.meta_path.insert(0, CompiledFinder(ARCHIVE))

if __name__ == "__main__":
    from hawthornlead.main import main

    main()
