"""Operator commands that manage keys and prepare, approve, roll and retire bundles.

Each command signs its request with the operator's private key, prints the answer of
the VM and exits with a non-zero code if the VM refuses.
"""

import asyncio
import base64
import functools
import json
import os
import secrets
from pathlib import Path
from typing import Any, NamedTuple

import click
from tornado.httpclient import HTTPError, HTTPRequest

from ..answers.whole_clients import WholeAnswerClient
from ..bundles.bundle_diffs import diff
from ..bundles.bundles import Bundle, prepare
from ..signatures import (
    Purpose,
    Statement,
    generate_key,
    private_text,
    public_text,
    read_private_file,
    sign,
)
from .request_guards import signed_headers
from .vm_options import CA_OPTION, VM_OPTION

REQUEST_TIMEOUT_S = 60.0


class Operator(NamedTuple):
    """The operator who signs, the private key and the URL of the VM.

    ``ca`` is the path of a file of trusted certificates.
    """

    name: str
    key: Any
    url: str
    ca: str | None

    def send(self, method: str, path: str, value: Any = None) -> dict[str, Any]:
        """Send a signed request and return the answer; exit the command if refused."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = signed_headers(self.key, self.name, method, path, body)
        return asyncio.run(self._fetch(method, path, headers, body))

    def order(self, purpose: Purpose, digest: str, **fields: Any) -> dict[str, Any]:
        """Return a signed statement as a JSON document."""
        statement = Statement(purpose.value, self.name, digest, **fields)
        return sign(self.key, statement).document()

    async def _fetch(self, method, path, headers, body) -> dict[str, Any]:
        request = HTTPRequest(
            self.url + path,
            method=method,
            headers=headers,
            body=body if method == "POST" else None,
            request_timeout=REQUEST_TIMEOUT_S,
            ca_certs=self.ca,
        )
        try:
            response = await WholeAnswerClient().fetch(request, raise_error=False)
        except (OSError, HTTPError) as error:
            raise click.ClickException(f"{self.url}: {error}") from None
        return _answer(self.url + path, response)


def _answer(url: str, response) -> dict[str, Any]:
    try:
        fields = json.loads(response.body or b"")
    except ValueError:
        fields = {}
    if response.code == 200 and isinstance(fields, dict):
        return fields
    if not isinstance(fields, dict) or "error" not in fields:
        message = f"{url}: HTTP status {response.code}: {response.reason}"
        raise click.ClickException(f"{message}; is this the caller address of a VM?")
    raise click.ClickException(f"{fields['error']}: {fields.get('detail', '')}")


def operator_options(function):
    """Add the options for signer and VM, passed on as one ``Operator``."""

    @functools.wraps(function)
    def command(*, operator, key, vm, ca, **options):
        url = vm if "://" in vm else f"http://{vm}"
        return function(operator=Operator(operator, _read_key(key), url, ca), **options)

    for option in (
        CA_OPTION,
        VM_OPTION,
        click.option("--key", required=True, metavar="FILE", help="Your private key."),
        click.option(
            "--operator", required=True, metavar="NAME", help="As in [operators]."
        ),
    ):
        command = option(command)
    return command


def _read_key(path: str):
    read = read_private_file(path)
    if read.is_err():
        raise click.ClickException(read.unwrap_err().detail)
    return read.unwrap()


def _read_document(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise click.ClickException(f"{path}: not JSON: {error}") from None


@click.group("keys")
def keys_group():
    """Make and show operators' keys."""


@keys_group.command("new")
@click.argument("path", metavar="FILE")
def keys_new(path: str) -> None:
    """Write a new private key to FILE and print its public key."""
    key = generate_key()
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from None
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(private_text(key) + "\n")
    click.echo(public_text(key))


@keys_group.command("show")
@click.argument("path", metavar="FILE")
def keys_show(path: str) -> None:
    """Print the public key of the private key in FILE."""
    click.echo(public_text(_read_key(path)))


@click.group("bundle")
def bundle_group():
    """Prepare, approve, roll and retire bundles."""


@bundle_group.command("prepare")
@click.argument("path", metavar="DOCUMENT")
@operator_options
def bundle_prepare(path: str, operator: Operator) -> None:
    """Check DOCUMENT, send it, sign it as its preparer and print its digest."""
    prepared = prepare(_read_document(path))
    if prepared.is_err():
        raise click.ClickException(prepared.unwrap_err().detail)
    for chunk in prepared.unwrap().chunks:
        content = base64.b64encode(chunk.content).decode()
        fields = {"digest": chunk.digest, "content": content}
        operator.send("POST", "/operator/chunks", fields)
    digest = prepared.unwrap().bundle.digest
    operator.send("POST", "/operator/bundles", operator.order(Purpose.PREPARE, digest))
    click.echo(digest)


@bundle_group.command("diff")
@click.argument("old", metavar="OLD")
@click.argument("new", metavar="NEW")
def bundle_diff(old: str, new: str) -> None:
    """Print what changes when the document NEW follows OLD."""
    bundles = []
    for path in (old, new):
        read = Bundle.read(_read_document(path))
        if read.is_err():
            raise click.ClickException(f"{path}:\n{read.unwrap_err().detail}")
        bundles.append(read.unwrap())
    changes = diff(*bundles)
    for change in changes:
        click.echo(str(change))
    if not changes:
        click.echo("nothing changes")


@bundle_group.command("approve")
@click.argument("digest")
@operator_options
def bundle_approve(digest: str, operator: Operator) -> None:
    """Approve a bundle that another operator prepared."""
    order = operator.order(Purpose.APPROVE, digest)
    operator.send("POST", "/operator/approve", order)
    click.echo(f"approved {digest}")


@bundle_group.command("roll")
@click.argument("digest")
@click.option(
    "--expect", type=click.IntRange(0), help="Sequence number in force, as you saw it."
)
@click.option("--waive", multiple=True, metavar="VM|DATA_CENTRE")
@click.option("--order-id", help="Repeat an order whose answer was lost.")
@operator_options
def bundle_roll(
    digest: str, expect: int | None, waive, order_id, operator: Operator
) -> None:
    """Put a bundle in force on every VM. An earlier one: that is the roll back."""
    if expect is None:
        expect = operator.send("GET", "/operator/bundle")["seq"]
    order_id = order_id or secrets.token_hex(16)
    click.echo(f"order {order_id}, expecting {expect} in force", err=True)
    purpose = Purpose.WAIVE if waive else Purpose.ROLL
    order = operator.order(
        purpose, digest, order_id=order_id, expected_seq=expect, waived=tuple(waive)
    )
    rolled = operator.send("POST", f"/operator/{purpose.value}", order)
    click.echo(f"in force as {rolled['seq']}: {rolled['digest']}")
    for key in ("acknowledged", "gone", "waived"):
        if rolled[key]:
            click.echo(f"{key}: {', '.join(rolled[key])}")


@bundle_group.command("retire")
@click.argument("digest")
@operator_options
def bundle_retire(digest: str, operator: Operator) -> None:
    """Bar a bundle from being rolled any more."""
    order = operator.order(Purpose.RETIRE, digest, order_id=secrets.token_hex(16))
    operator.send("POST", "/operator/retire", order)
    click.echo(f"retired {digest}")


@bundle_group.command("show")
@operator_options
def bundle_show(operator: Operator) -> None:
    """Print what is in force, what is staged, the past rolls, and this VM's state."""
    shown = operator.send("GET", "/operator/bundle")
    shown["this_vm"] = operator.send("GET", "/operator/status")
    click.echo(json.dumps(shown, indent=2))
