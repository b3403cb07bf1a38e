"""Read-only queries of the command line.

A query of a running VM takes its caller address and prints a table or, with ``--json``,
the answer of the VM as it is::

    hawthornlead timeline --vm 10.0.0.4:8080 --subject engine-3
"""

import datetime
import functools
import json
import sys
from typing import Any, NamedTuple
from urllib.parse import urlencode

import click
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result
from tornado.httpclient import HTTPClient, HTTPError

from ..answers.whole_clients import WholeAnswerClient
from ..errors import ErrorKind, Failure
from ..file_settings import effective_settings
from ..settings import FREE_SECTIONS, SETTINGS, Settings
from ..signatures import read_private_file
from .explanations import format_history, history_of, read_lines
from .references import EventRow, event_rows
from .request_guards import signed_headers
from .vm_options import CA_OPTION, VM_OPTION

QUERY_TIMEOUT_S = 10.0
SECRETS = frozenset({"PEER_SECRET"})

QUERIES: dict[str, click.Command] = {}


class Signer(NamedTuple):
    """An operator who signs queries, and the private key."""

    operator: str
    key: Ed25519PrivateKey


def query(command: click.Command) -> click.Command:
    """Register a command in ``QUERIES``, which the command line includes."""
    QUERIES[command.name] = command
    return command


def vm_query_options(function):
    """Add the options of a query to a running VM."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
        CA_OPTION,
        VM_OPTION,
    ):
        function = option(function)
    return function


def signer_options(function):
    """Add the options by which an operator signs a query.

    The caller address of a VM requires a signature, the metrics address does not.
    """

    @functools.wraps(function)
    def command(*, operator, key, **options):
        if bool(operator) != bool(key):
            raise click.UsageError("--operator and --key go together")
        return function(signer=_signer(operator, key), **options)

    for option in (
        click.option("--key", metavar="FILE", help="Your private key."),
        click.option("--operator", metavar="NAME", help="As in [operators]."),
    ):
        command = option(command)
    return command


def _signer(operator: str | None, path: str | None) -> Signer | None:
    if not operator:
        return None
    read = read_private_file(path)
    if isinstance(read, Err):
        raise click.ClickException(read.err_value.detail)
    return Signer(operator, read.ok_value)


@query
@click.command("check-settings")
@click.argument("path", metavar="FILE")
def check_settings(path: str) -> None:
    """Print settings in effect, or all errors."""
    click.echo(settings_as_ini(effective_settings(path)), nl=False)


@query
@click.command()
def events() -> None:
    """Print the catalogue of numbered events."""
    click.echo(as_table(EventRow._fields, event_rows()))


@query
@click.command()
@vm_query_options
@signer_options
def status(vm: str, ca: str | None, as_json: bool, signer: Signer | None) -> None:
    """Show the state of one VM and what it knows."""
    answer = _answer_or_exit(query_vm(vm, "/status", {}, ca, signer))
    if as_json:
        return click.echo(json.dumps(answer))
    return click.echo(as_table(("what", "value"), flat_rows(answer)))


@query
@click.command()
@click.option("--data-centre", default="", help="Data centre of the caller.")
@vm_query_options
def entry(vm: str, ca: str | None, as_json: bool, data_centre: str) -> None:
    """Show the addresses that callers are told to use."""
    parameters = {"data_centre": data_centre} if data_centre else {}
    answer = _answer_or_exit(query_vm(vm, "/entry", parameters, ca))
    if as_json:
        return click.echo(json.dumps(answer))
    rows = [(address, f"{answer['keep_s']:.1f}") for address in answer["addresses"]]
    return click.echo(as_table(("address", "keep_s"), rows))


@query
@click.command()
@vm_query_options
def fleet(vm: str, ca: str | None, as_json: bool) -> None:
    """Show the fleet as one gateway sees it; VM is its metrics address."""
    answer = _answer_or_exit(query_vm(vm, "/fleet", {}, ca))
    if as_json:
        return click.echo(json.dumps(answer))
    own = {name: field for name, field in answer.items() if not isinstance(field, list)}
    own["relays"] = " ".join(answer["relays"])
    click.echo(as_table(("what", "value"), flat_rows(own)))
    for part in ("kinds", "members", "engines", "quotas", "quarantines"):
        # A VM of an older build doesn't send all of them.
        if answer.get(part):
            click.echo("\n" + rows_as_table(answer[part]))
    return None


@query
@click.command()
@click.option("--subject", default="", help="Request, target, adapter, bundle or VM.")
@click.option(
    "--limit",
    type=click.IntRange(1),
    default=1000,
    show_default=True,
    help="Most events per VM.",
)
@vm_query_options
@signer_options
def timeline(
    vm: str,
    ca: str | None,
    as_json: bool,
    subject: str,
    limit: int,
    signer: Signer | None,
) -> None:
    """Show one time line of the events of all VMs."""
    parameters = {"subject": subject, "limit": str(limit)}
    answer = _answer_or_exit(query_vm(vm, "/timeline", parameters, ca, signer))
    if as_json:
        return click.echo(json.dumps(answer))
    heads = ("time", "vm", "number", "subject", "text")
    click.echo(as_table(heads, timeline_rows(answer["events"])))
    for missing in answer.get("missing", ()):
        click.echo(f"no events from {missing}: it did not answer", err=True)
    return None


def settings_as_ini(settings: Settings) -> str:
    """Return settings as the text of an INI file; secrets are not shown."""
    lines = []
    for section in dict.fromkeys(row.section for row in SETTINGS.values()):
        lines.append(f"[{section}]")
        for name, row in SETTINGS.items():
            if row.section != section:
                continue
            if name in SECRETS and settings[name]:
                lines.append(f"# {name.lower()} is given and not shown")
                continue
            lines.append(f"{name.lower()} = {settings[name]}".rstrip())
        lines.append("")
    for section, name in FREE_SECTIONS.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in settings[name].items()]
        lines.append("")
    return "\n".join(lines)


def query_vm(
    vm: str,
    path: str,
    parameters: dict[str, str],
    ca: str | None = None,
    signer: Signer | None = None,
) -> Result[Any, Failure]:
    """Return a VM's JSON answer to a GET of ``path``.

    ``vm`` is IP:PORT, or begins with ``https://`` where callers use TLS. A refusal
    is returned as the VM sent it.
    """
    base = vm if "://" in vm else f"http://{vm}"
    path += f"?{urlencode(parameters)}" if parameters else ""
    headers = {}
    if signer is not None:
        headers = signed_headers(signer.key, signer.operator, "GET", path, b"")
    client = HTTPClient(WholeAnswerClient)
    try:
        response = client.fetch(
            base + path,
            headers=headers,
            connect_timeout=QUERY_TIMEOUT_S,
            request_timeout=QUERY_TIMEOUT_S,
            ca_certs=ca,
        )
        return Ok(json.loads(response.body))
    except HTTPError as error:
        return Err(_failure_of(vm, error))
    except (OSError, ValueError) as error:
        return Err(Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm}: {error}"))
    finally:
        client.close()


def timeline_rows(records: list[dict[str, Any]]) -> list[tuple[str, ...]]:
    """Return the rows of a time line, sorted so that causes come before effects."""
    ordered = sorted(records, key=lambda r: (r["wall_ms"], r["logical"], r["vm"]))
    rows = []
    for record in ordered:
        at = datetime.datetime.fromtimestamp(record["wall_ms"] / 1000, datetime.UTC)
        time = f"{at:%Y-%m-%dT%H:%M:%S}.{record['wall_ms'] % 1000:03d}Z"
        if record["logical"]:
            time += f"+{record['logical']}"
        number = str(record["number"])
        rows.append((time, record["vm"], number, record["subject"], record["text"]))
    return rows


def flat_rows(answer: Any, prefix: str = "") -> list[tuple[str, str]]:
    """Return nested JSON as rows of a dotted name and a value."""
    if isinstance(answer, dict):
        items = list(answer.items())
    elif isinstance(answer, list):
        items = list(enumerate(answer))
    else:
        return [(prefix, str(answer))]
    if not items:
        return [(prefix, "none")]
    rows = []
    for key, value in items:
        rows += flat_rows(value, f"{prefix}.{key}" if prefix else str(key))
    return rows


def rows_as_table(rows: list[dict[str, Any]]) -> str:
    """Return records of the same fields as a table, with "-" for unknown values."""
    heads = tuple(rows[0]) if rows else ("none",)
    lines = []
    for row in rows:
        lines.append(tuple(["-" if row[h] is None else str(row[h]) for h in heads]))
    return as_table(heads, lines)


def as_table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return columns aligned by spaces."""
    lines = [heads, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(heads))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _failure_of(vm: str, error: HTTPError) -> Failure:
    body = error.response.body if error.response is not None else b""
    try:
        fields = json.loads(body or b"")
        kind, detail = ErrorKind(fields["error"]), fields["detail"]
    except (ValueError, KeyError, TypeError):
        hint = "; is this the address of a VM?" if error.response is not None else ""
        return Failure(ErrorKind.PEER_UNAVAILABLE, f"{vm}: {error}{hint}")
    if kind is ErrorKind.UNAUTHENTICATED:
        detail = "give --operator and --key, or ask the VM's metrics address"
    return Failure(kind, f"{vm}: {detail}")


def _answer_or_exit(outcome: Result[Any, Failure]) -> Any:
    if isinstance(outcome, Ok):
        return outcome.ok_value
    failure = outcome.err_value
    click.echo(f"{failure.kind.value}: {failure.detail}", err=True)
    sys.exit(1)


@query
@click.command("explain")
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
def explain_request(request_id: str, files) -> None:
    """Show the history of a request from JSON log lines of one or more VMs.

    Reads the FILES, or standard input if there are none.
    """
    lines = []
    for file in files or (sys.stdin,):
        lines += read_lines(file)
    click.echo(format_history(request_id, history_of(request_id, lines)))
