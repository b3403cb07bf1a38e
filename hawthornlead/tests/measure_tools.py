"""Readings of processes and the files that measurements are written to.

A measurement is committed as JSON: what ran, when, on what, and its rows. The tables
of docs/CAPACITY.md are made from these files alone.
"""

import json
import os
import platform
import re
import subprocess
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple

RESULTS = Path(__file__).resolve().parents[2] / "bench" / "results" / "slopes"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What a process has used: processor seconds so far, resident bytes now."""

    processor_s: float
    resident: int


def usage(pid: int | str = "self") -> Usage:
    """Read a process's processor time and resident memory from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f"/proc/{pid}/status").read_text()
    resident = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024
    return Usage(ticks / TICKS_PER_S, resident)


def waited_s(pid: int) -> float:
    """Return how long a process's main thread was ready and had no processor.

    On a busy machine this, and not the code, is most of a latency.
    """
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def write_result(name: str, rows: list[dict[str, Any]], **more: Any) -> Path:
    """Write one measurement's rows with what is needed to read them later."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    path = RESULTS / f"{name}.json"
    result = {
        "name": name,
        "command": f"scripts/measure {name}",
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "machine": {
            "processors": os.cpu_count(),
            "load_1_min": round(os.getloadavg()[0], 1),
            "python": platform.python_version(),
        },
        **more,
        "rows": rows,
    }
    path.write_text(json.dumps(result, indent=1) + "\n")
    return path


def read_result(name: str) -> dict[str, Any] | None:
    """Return a committed measurement, None where there is none."""
    path = RESULTS / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


def in_process(function: str, *arguments: Any) -> dict[str, Any]:
    """Run ``module:function`` in a fresh interpreter; return the dict that it made.

    Memory is only comparable between interpreters that did nothing else.
    """
    module, _, name = function.partition(":")
    program = (
        f"import json, {module}; "
        f"print(json.dumps({module}.{name}(*json.loads({json.dumps(arguments)!r}))))"
    )
    finished = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
        timeout=300,
        env=os.environ | {"LOGURU_AUTOINIT": "False"},
    )
    return json.loads(finished.stdout.splitlines()[-1])


def metric_sums(text: str, name: str, label: str) -> dict[str, float]:
    """Sum a metric of a Prometheus page by one of its labels."""
    sums: dict[str, float] = {}
    pattern = re.compile(rf'^{name}\{{.*?{label}="([^"]*)".*?\}} (\S+)$', re.MULTILINE)
    for value, number in pattern.findall(text):
        sums[value] = sums.get(value, 0.0) + float(number)
    return sums
