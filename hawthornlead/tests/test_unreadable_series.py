"""Random series of valid and invalid objects, which all VMs must see alike."""

import asyncio

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hawthornlead.platform.objects import (
    TARGETS_KIND,
)

from .bad_entries import bad_specs, target_spec
from .following_vms import BAD_BYTES, KINDS, NAMES, relayed_site

STEPS = st.one_of(
    st.tuples(st.just("good"), st.sampled_from(KINDS), st.sampled_from(NAMES)),
    st.tuples(st.just("gone"), st.sampled_from(KINDS), st.sampled_from(NAMES)),
    st.tuples(
        st.just("raw"),
        st.sampled_from(KINDS),
        st.sampled_from(NAMES),
        st.sampled_from(BAD_BYTES),
    ),
    st.sampled_from(KINDS).flatmap(
        lambda kind: st.sampled_from(NAMES).flatmap(
            lambda name: st.tuples(
                st.just("bad"), st.just(kind), st.just(name), bad_specs(kind, name)
            )
        )
    ),
    st.tuples(st.just("settle")),
    st.tuples(st.just("forget")),
)


@pytest.fixture(scope="module")
def running_site():
    """A site of four VMs, two of which learn from relays, and its event loop."""
    with asyncio.Runner() as runner:
        site = runner.run(relayed_site())
        yield runner, site
        runner.run(site.stop())


async def _play(site, steps):
    for kind in KINDS:
        for name in NAMES:
            site.write_good(kind, name)
    await site.agree()
    for what, *step in steps:
        if what in ("bad", "raw") and step[0] != TARGETS_KIND:
            # An object stays in force only if the VMs saw it before it became invalid.
            await site.agree()
        if what == "settle":
            await site.agree()
        elif what == "forget":
            site.store.forget_history()
        elif what == "good":
            site.write_good(*step)
        elif what == "gone":
            site.remove(*step)
        elif what == "raw":
            site.write_raw(*step)
        else:
            site.write_bad(*step)
    await site.agree()


@settings(derandomize=True, max_examples=30, deadline=None)
@given(steps=st.lists(STEPS, max_size=12))
@example(steps=[("bad", kind, "n1", "x") for kind in KINDS])
@example(steps=[("bad", kind, "n1", {"models": "x"}) for kind in KINDS])
@example(steps=[("raw", kind, "n1", BAD_BYTES[1]) for kind in KINDS])
@example(steps=[("raw", kind, "n1", BAD_BYTES[2]) for kind in KINDS])
@example(steps=[("raw", kind, "n1", BAD_BYTES[4]) for kind in KINDS])
@example(
    steps=[
        ("bad", TARGETS_KIND, "n2", target_spec(state="odd")),
        ("forget",),
        ("settle",),
        ("good", TARGETS_KIND, "n2"),
        ("bad", TARGETS_KIND, "n2", target_spec(slots=True)),
        ("good", TARGETS_KIND, "n2"),
    ]
)
def test_all_vms_believe_the_same_whatever_others_write(running_site, steps):
    runner, site = running_site
    runner.run(_play(site, steps))
