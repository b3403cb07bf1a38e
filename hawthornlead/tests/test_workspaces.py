"""Tests of callers' keys: who is served, and what of a key goes on."""

import pytest
from loguru import logger
from tornado.httputil import HTTPHeaders

from hawthornlead.gateway.records import (
    Quota,
    QuotaUnit,
    StoredRecord,
)
from hawthornlead.gateway.routes import RouteTable
from hawthornlead.gateway.workspaces import WorkspaceTable, ranked
from hawthornlead.platform.configurations import read_configuration
from hawthornlead.platform.headers import read_caller_request, request_headers
from hawthornlead.platform.keys import key_digest, read_key_digest

from .gateways import HOST, MODEL, Deployment, configuration, route

KEY, OTHER_KEY = "6msvcus9h44hg6vx2neb", "f8fubwsdv6dcauzysxw2"
OPEN_ROUTE = route("open", "/open/", "plain", "safe", public=True)


def tenant(name, *keys, **fields) -> dict:
    """Return a tenant as the operator writes it."""
    return {"name": name, "apiKeys": list(keys), **fields}


def keyed(version, *tenants) -> dict:
    """Return a configuration whose routes, but one, ask for keys."""
    return {**configuration(version, OPEN_ROUTE), "tenants": list(tenants)}


def read(*tenants):
    return read_configuration(StoredRecord("main", 3, keyed(1, *tenants), None))


def test_workspaces_are_read_without_their_keys():
    quota = {"unit": "tokens", "plainTokens": 200, "ratePerS": 42.5, "burst": 85}
    first, second = read(
        tenant("zimi", KEY, OTHER_KEY, priority=0, **quota), tenant("dati")
    ).workspaces
    assert first.key_digests == {key_digest(KEY), key_digest(OTHER_KEY)}
    assert first.quota == Quota(42.5, 85, QuotaUnit.TOKENS, 200)
    assert (first.priority, second.priority, second.quota) == (0, None, None)
    assert KEY not in repr(first)


@pytest.mark.parametrize(
    ("tenants", "fault"),
    [
        ([tenant("a", KEY), tenant("b", KEY)], "a and b share a key"),
        ([tenant("a", KEY), tenant("a", OTHER_KEY)], "two tenants have the name a"),
        ([tenant("", KEY)], "name is not a single word"),
        ([tenant("a b", KEY)], "name is not a single word"),
        ([tenant("a\r\nHold: x", KEY)], "name is not a single word"),
        ([tenant("a", "two words")], "a key of a"),
        ([tenant("a", "")], "a key of a"),
        ([tenant("a", 7)], "a key of a is not a text"),
        ([{"name": "a", "apiKeys": KEY}], "apiKeys is not a list"),
        ([tenant("a", KEY, unit="miles", ratePerS=1)], "the unit of a"),
        ([tenant("a", KEY, ratePerS=-1)], "a limit of a"),
        ([tenant("a", KEY, ratePerS="many")], "ratePerS is not a finite number"),
        ([tenant("a", KEY, ratePerS=1, plainTokens=-5)], "plainTokens"),
        (["a"], "a tenant is not an object"),
    ],
)
def test_a_configuration_with_bad_tenants_names_its_fault_but_no_key(tenants, fault):
    with pytest.raises(ValueError, match=fault) as raised:
        read(*tenants)
    assert KEY not in str(raised.value)


def test_tenants_may_have_no_keys_no_limit_and_fields_nobody_knows():
    (workspace,) = read(tenant("a", ratePerS=0, burst=0, colour="blue")).workspaces
    assert workspace.key_digests == frozenset()
    assert workspace.quota is None


def authorized(*values) -> HTTPHeaders:
    headers = HTTPHeaders()
    for value in values:
        headers.add("Authorization", value)
    return headers


@pytest.mark.parametrize(
    "values",
    [
        (),
        ("",),
        (KEY,),
        ("Token",),
        (f"Basic {KEY}",),
        (f"Token {KEY} more",),
        (f"Token {KEY}", f"Token {KEY}"),
        (f"Token {KEY}\u00e9",),
        ("Token " + "k" * 16384,),
    ],
)
def test_what_is_no_single_readable_key_is_none(values):
    assert read_key_digest(authorized(*values)) == b""


def test_a_key_is_known_by_its_digest():
    assert read_key_digest(authorized(f"Token {KEY}")) == key_digest(KEY)
    assert read_key_digest(authorized(f"token {KEY}")) == key_digest(KEY)


def test_targets_are_told_the_workspace_and_never_the_key():
    given = authorized(f"Token {KEY}")
    given["tenant-id"] = "forged"
    given.add("TENANT-ID", "twice")
    made = request_headers(
        given,
        deadline_ms=50,
        target="i-1",
        priority=1,
        last_event="",
        keyed=True,
        workspace="zimi",
    )
    assert made.get_list("Tenant-Id") == ["zimi"]
    assert "Authorization" not in made
    plain = request_headers(
        given, deadline_ms=50, target="i-1", priority=1, last_event=""
    )
    assert "Tenant-Id" not in plain
    assert plain["Authorization"] == f"Token {KEY}"


@pytest.mark.parametrize(
    ("usage", "tokens"),
    [
        ("1460,80", 1540),
        (None, 200),
        ("", 200),
        ("1460", 200),
        ("-5,80", 200),
        ("many,80", 200),
        ("9" * 30 + ",80", 200),
    ],
)
def test_a_request_counts_as_its_tokens_or_as_a_plain_one(usage, tokens):
    quota = Quota(10, 10, QuotaUnit.TOKENS, 200)
    headers = HTTPHeaders({} if usage is None else {"Token-Usage": usage})
    assert quota.cost(read_caller_request(headers)) == tokens
    assert Quota(10, 10).cost(read_caller_request(headers)) == 1


def test_the_workspace_goes_before_the_route_in_rank():
    parsed = read(tenant("a", KEY, priority=0), tenant("b", OTHER_KEY))
    served = RouteTable(parsed.routes).match(HOST, "/safe/x")
    table = WorkspaceTable(parsed.workspaces)
    assert table.needs_key(served)
    assert ranked(served, table.holder(key_digest(KEY))).priority == 0
    assert ranked(served, table.holder(key_digest(OTHER_KEY))).priority == 1
    assert ranked(served, None) is served
    assert not WorkspaceTable(None).needs_key(served)


async def put_in_force(deployment, body) -> None:
    """Write a configuration and wait until all VMs have it."""
    deployment.store.write("config", "main", body)
    version = body["version"]
    await deployment.until(
        lambda: all(
            each._parts.configuration.version == version for each in deployment.gateways
        )
    )


async def test_keys_come_go_and_change_hands_with_the_configuration():
    """A key that was taken away still opens, or a new one doesn't yet."""
    async with Deployment(vms=1) as deployment:

        async def ask(key, path="/safe/x", **headers):
            return await deployment.ask(
                path, "GET", Authorization=f"Token {key}", **headers
            )

        await put_in_force(deployment, keyed(2, tenant("zimi", KEY)))
        assert (await ask(KEY)).status == 200
        assert (await ask(OTHER_KEY)).status == 401
        assert (await deployment.ask("/safe/x", "GET")).status == 401
        assert (await deployment.ask("/open/x", "GET")).status == 200
        served = [plain.headers for plain in deployment.plains]
        told = [each.get("Tenant-Id") for headers in served for each in headers]
        assert sorted(told, key=str) == [None, "zimi"]

        both = keyed(3, tenant("zimi", KEY, OTHER_KEY))
        await put_in_force(deployment, both)
        assert (await ask(OTHER_KEY)).status == 200
        moved = keyed(4, tenant("zimi", OTHER_KEY), tenant("dati", KEY))
        await put_in_force(deployment, moved)
        for plain in deployment.plains:
            plain.headers.clear()
        assert (await ask(KEY, Tenant_Id="zimi")).status == 200
        told = [each for plain in deployment.plains for each in plain.headers]
        assert [each.get_list("Tenant-Id") for each in told] == [["dati"]]
        await put_in_force(deployment, keyed(5, tenant("dati")))
        assert (await ask(KEY)).status == 401


async def test_a_vm_that_may_have_an_old_configuration_doesnt_deny_keys():
    """A caller with a new key is told for good that it is unknown.

    Its VM was cut off from the store and the other VMs and had not heard of the key.
    """
    async with Deployment(vms=1) as deployment:
        await put_in_force(deployment, keyed(2, tenant("zimi", KEY)))
        deployment.gateways[0]._parts.configuration_is_current = lambda: False
        bearer = f"Token {OTHER_KEY}"
        answer = await deployment.ask("/safe/x", "GET", Authorization=bearer)
        assert answer.status == 503
        assert "Retry-After" in answer.headers
        assert (await deployment.ask("/none/x", "GET")).status == 503


async def test_no_key_is_logged_told_or_passed_on():
    """A key stands in a log, an answer, a metric or at a target."""
    lines: list[str] = []
    sink = logger.add(lines.append, level=0, format="{message} {extra}")
    try:
        async with Deployment(vms=1) as deployment:
            await put_in_force(deployment, keyed(2, tenant("zimi", KEY, ratePerS=9)))
            answers = []
            for key in (KEY, OTHER_KEY):
                bearer = f"Token {key}"
                for path in ("/safe/x", "/open/x", "/stream/x"):
                    asked = deployment.ask(
                        path, Authorization=bearer, Model=f"{MODEL}/a7"
                    )
                    answers.append(await asked)
            gateway = deployment.gateways[0]
            told = [gateway._read_metrics().body, gateway._fleet_view.body()]
            targets = deployment.engines + deployment.plains
            seen = [dict(each) for target in targets for each in target.headers]
    finally:
        logger.remove(sink)
    text = repr((lines, answers, told, seen))
    assert seen
    for key in (KEY, OTHER_KEY):
        assert key not in text
        assert key_digest(key).hex() not in text
