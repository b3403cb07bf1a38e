"""Starts the one binary and looks for child processes and written files.

While a run lives, its children and its descriptors open for writing are sampled
every few milliseconds; before and after, the working, temporary and home folders
are listed. A run that can't take place is printed as "not run".
"""

import contextlib
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
SAMPLE_S = 0.005
# How long the daemon serves before it is asked to stop, and may take to listen. Beside
# 20 busy processes it began to listen after more than 3 s, and was ended by a signal
# that it didn't heed yet.
SERVE_S = 3.0
START_S = 60.0
STOP_S = 10.0

SETTINGS = """[vm]
vm_name = check
data_centre = check
caller_address = 127.0.0.1:{}
peer_address = 127.0.0.1:{}
[platform]
store_address = 127.0.0.1:{}
vm_list_address = 127.0.0.1:{}
store_timeout_s = 0.2
[entry]
drain_s = 0
entry_keep_s = 0.1
"""

# Loads every compiled part from the archive and uses the ones that matter.
PROBE = """
import runpy, sys, time
binary = sys.argv[1]
runpy.run_path(binary, run_name="probe")
sys.path.insert(0, binary)
import cbor2, _cbor2, _cffi_backend, tornado.speedups, websockets.speedups
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
key = Ed25519PrivateKey.generate()
key.public_key().verify(key.sign(b"signed"), b"signed")
assert cbor2.loads is _cbor2.loads
assert cbor2.loads(cbor2.dumps({"a": [1]})) == {"a": [1]}
time.sleep(0.5)
"""


class Seen(NamedTuple):
    """What was seen of one run."""

    status: int
    output: str
    children: set[int]
    written: set[str]
    changed: set[str]
    resident_kb: int
    seconds: float


def main() -> None:
    """Run all checks and exit with 1 if one fails."""
    arguments = sys.argv[1:]
    binary = Path(arguments[0]) if arguments else ROOT / "dist" / "hawthornlead"
    binary = binary.resolve()
    if not binary.exists():
        sys.exit(f"{binary}: no such file; run scripts/build first")
    faults = []
    with tempfile.TemporaryDirectory() as name:
        base = Path(name)
        path = base / "settings.ini"
        ports = free_ports(4)
        path.write_text(SETTINGS.format(*ports), encoding="utf-8")
        python = Path(sys.base_prefix, "bin", "python{}.{}".format(*sys.version_info))
        probe = [str(python), "-B", "-I", "-c", PROBE, str(binary)]
        faults += report("compiled parts", run(probe, base), {0})
        command = [str(binary), "check-settings", str(path)]
        faults += report("check-settings", run(command, base), {0})
        missing = missing_parts()
        if not missing:
            command = [str(binary), "serve", "-c", str(path)]
            seen = run(command, base, stop_after=SERVE_S, port=ports[0])
            faults += report("serve", seen, {0})
        else:
            print(f"serve: not run, missing parts: {', '.join(missing)}")
    if faults:
        sys.exit("\n".join(faults))


def missing_parts() -> list[str]:
    """Return the modules of the package that the daemon needs and that aren't there."""
    daemon = ROOT / "hawthornlead" / "daemon"
    text = (daemon / "daemons.py").read_text(encoding="utf-8")
    found = re.findall(r"^from (\.+)([\w.]+) import", text, re.MULTILINE)
    missing = []
    for dots, name in sorted(set(found)):
        path = daemon.joinpath(*[".."] * (len(dots) - 1), *name.split("."))
        if not path.with_suffix(".py").exists() and not path.is_dir():
            missing.append(name)
    return missing


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that nothing listens on."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]


def run(
    command: list[str], base: Path, stop_after: float | None = None, port: int = 0
) -> Seen:
    """Run ``command`` in empty folders and watch it until it ends.

    Stop it ``stop_after`` seconds after it began to listen on ``port``.
    """
    folders = [base / "cwd", base / "tmp", base / "home"]
    for folder in folders:
        folder.mkdir(exist_ok=True)
    path = f"{Path(sys.base_prefix, 'bin')}:{os.environ['PATH']}"
    environment = {"PATH": path, "TMPDIR": str(folders[1]), "HOME": str(folders[2])}
    before = listing(folders)
    started = time.monotonic()
    with open(base / "output", "w+", encoding="utf-8") as output:
        process = subprocess.Popen(
            command, cwd=folders[0], env=environment, stdout=output, stderr=output
        )
        output_path = base / "output"
        children, written, resident = watch(process, stop_after, port, output_path)
        output.seek(0)
        text = output.read()
    seconds = time.monotonic() - started
    changed = {str(path) for path in listing(folders) ^ before}
    return Seen(process.returncode, text, children, written, changed, resident, seconds)


def watch(process, stop_after: float | None, port: int, output: Path):
    """Sample a process until it ends; stop it some time after it listens."""
    children, written, resident = set(), set(), 0
    waits = stop_after is not None
    stop_at = None
    kill_at = time.monotonic() + (stop_after or 0) + START_S + STOP_S
    while process.poll() is None:
        children |= children_of(process.pid)
        written |= open_for_writing(process.pid) - {str(output)}
        resident = max(resident, resident_kb(process.pid))
        if waits and listens(port):
            waits = False
            stop_at = time.monotonic() + stop_after
        if stop_at is not None and time.monotonic() > stop_at:
            process.terminate()
            stop_at = None
        if time.monotonic() > kill_at:
            process.kill()
        time.sleep(SAMPLE_S)
    return children, written, resident


def listens(port: int) -> bool:
    """Whether a process listens on a port of loopback."""
    with socket.socket() as caller:
        return caller.connect_ex(("127.0.0.1", port)) == 0


def children_of(pid: int) -> set[int]:
    """Return the process numbers of a process's children."""
    found = set()
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        # The process may end between the listing and the reading.
        with contextlib.suppress(OSError):
            found |= {int(number) for number in path.read_text().split()}
    return found


def open_for_writing(pid: int) -> set[str]:
    """Return the names of regular files that a process holds open for writing."""
    found = set()
    for link in Path(f"/proc/{pid}/fd").glob("*"):
        with contextlib.suppress(OSError):
            name = os.readlink(link)
            flags = Path(f"/proc/{pid}/fdinfo/{link.name}").read_text().split()[3]
            writable = int(flags, 8) & os.O_ACCMODE != os.O_RDONLY
            # An anonymous file in memory has no folder: it is neither disk nor
            # shared with another process.
            anonymous = name.startswith("/memfd:")
            if writable and not anonymous and Path(name).is_file():
                found.add(name)
    return found


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process in KB, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def listing(folders: list[Path]) -> set[tuple[str, int]]:
    """Return all files under ``folders`` with the time of their last change."""
    return {
        (str(path), path.stat().st_mtime_ns)
        for folder in folders
        for path in folder.rglob("*")
        if path.is_file()
    }


def report(name: str, seen: Seen, allowed: set[int]) -> list[str]:
    """Print one run and return its faults."""
    faults = []
    if seen.status not in allowed:
        faults.append(f"{name}: ended with {seen.status}\n{seen.output}")
    if seen.children:
        faults.append(f"{name}: started child processes {sorted(seen.children)}")
    for path in sorted(seen.written | seen.changed):
        faults.append(f"{name}: wrote {path}")
    print(
        f"{name}: {'failed' if faults else 'ok'}, {1 + len(seen.children)} process, "
        f"{len(seen.written | seen.changed)} files written, "
        f"{seen.resident_kb / 1000:.1f} MB resident at most, {seen.seconds:.2f} s"
    )
    return faults


if __name__ == "__main__":
    main()
