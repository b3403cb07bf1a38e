"""Tests of the software version that a stream is bound to."""

from hawthornlead.gateway.records import (
    CallerRequest,
    Incarnation,
    Route,
    RouteKind,
    ServiceShare,
    TargetEntry,
)
from hawthornlead.gateway.stream_bindings import StreamBinding
from hawthornlead.provenance.origin_records import RouteKey
from hawthornlead.provenance.origin_tables import StreamOrigin

ROUTE = Route(
    "resume",
    "office.example",
    "/resume/",
    RouteKind.STREAMING,
    8000.0,
    800.0,
    1,
    (ServiceShare("llm", 1.0),),
    2,
    True,
    300.0,
)


class Targets:
    """The entries that a VM knows."""

    def __init__(self, *entries, states_start=True):
        self.entries = {entry.target: entry for entry in entries}
        self._states_start = states_start

    def states_start(self, target):
        return self._states_start


def entry(target="e1", started_ms=1, software="v1"):
    """Return the entry of an engine."""
    return TargetEntry(
        target, "llm", "10.0.0.1:80", "gijon", 8, False, None, (), started_ms, software
    )


class Call:
    """A caller's request for a stream."""

    headers = {"Host": "office.example"}
    path = "/resume/x"
    arrived_at = 10.0


class Records:
    """What is recorded in the store: itself in the place of both parts."""

    def __init__(self, found=None):
        self.ledger = self.lookups = self
        self.added = []
        self.found = found

    def add_stream(self, *added):
        self.added.append(added)

    async def find(self, host, path, request):
        return self.found


def accepts(binding, sent_by, **how):
    """Whether events are taken from the start that an entry describes, or another."""
    writer = how.get("writer", sent_by.incarnation)
    return binding.accept(sent_by, writer, how.get("recorded"))


def bound_by(targets):
    """Return the binding of a request's stream that nobody resumes."""
    request = CallerRequest("r1", None, "", "", 0, 0, 0, "")
    return StreamBinding(targets, None, None, Call(), request)


def test_the_first_events_bind_a_stream_to_their_version():
    binding = bound_by(Targets(entry("e1"), entry("e2", software="v2")))
    assert not binding.can_resume
    assert accepts(binding, entry("e1"))
    assert binding.software == "v1"
    assert not accepts(binding, entry("e2", software="v2"))
    assert accepts(binding, entry("e3"))


def test_a_target_that_left_in_mid_run_still_binds_its_stream():
    binding = bound_by(Targets())
    assert accepts(binding, entry())
    assert binding.software == "v1"


def test_a_target_that_restarted_since_the_request_was_sent_binds_to_no_version():
    """Guards against a stream bound to the version of an engine's former start."""
    binding = bound_by(Targets(entry(started_ms=2, software="v2")))
    assert accepts(binding, entry(started_ms=1))
    assert not binding.can_resume
    assert not accepts(binding, entry(started_ms=1))


def test_a_bound_stream_takes_no_events_of_a_target_that_restarted_since():
    """Guards against events of other software from an engine that kept its id."""
    targets = Targets(entry())
    binding = bound_by(targets)
    assert accepts(binding, entry())
    targets.entries["e1"] = entry(started_ms=2, software="v2")
    assert not accepts(binding, entry(started_ms=1))


def test_events_without_a_proof_of_their_writer_bind_to_no_version():
    """Guards against a version inferred from the entry by which a request was sent."""
    binding = bound_by(Targets(entry()))
    assert accepts(binding, entry(), writer=None)
    assert binding.origin is not None and not binding.can_resume
    binding = bound_by(Targets())
    assert accepts(binding, entry(), writer=Incarnation("e1", 2))
    assert not binding.can_resume


def test_a_bound_stream_takes_no_events_of_an_unproved_writer():
    """Guards against events of a start that the target's entry doesn't describe yet."""
    binding = bound_by(Targets(entry()))
    assert accepts(binding, entry())
    assert not accepts(binding, entry(), writer=None)
    assert not accepts(binding, entry(), writer=Incarnation("e1", 2))
    assert accepts(binding, entry())


def test_the_id_proves_the_writer_where_targets_state_no_start():
    """Guards against streams that go on nowhere on a platform without starts."""
    known = Targets(entry(started_ms=None), states_start=False)
    binding = bound_by(known)
    assert accepts(binding, entry(started_ms=None), writer=None)
    assert binding.software == "v1"


def test_an_entry_that_states_no_version_binds_a_stream_to_none():
    binding = bound_by(Targets(entry(software="")))
    assert accepts(binding, entry(software=""))
    assert not binding.can_resume
    assert not entry(software="").runs("")
    assert entry(software="").runs(None)


class Origins:
    """The origins that a VM finds, and those that it records."""

    def __init__(self, **known):
        self.known = known
        self.recorded = []

    async def find(self, request, look_up):
        return self.known.get(request) or await look_up()

    def record(self, request, origin):
        self.recorded.append((request, origin))


def test_events_of_an_origin_that_is_not_recorded_are_not_forwarded():
    """Guards against a stream that other VMs take for one of another version."""
    recorded = StreamOrigin("llm", "v1")
    for known, writer in (
        (entry(started_ms=2, software="v2"), Incarnation("e1", 1)),
        (entry(), None),
        (entry(), Incarnation("e1", 2)),
    ):
        binding = bound_by(Targets(known))
        assert not accepts(binding, entry(), writer=writer, recorded=recorded)
        assert binding.origin is None
    binding = bound_by(Targets(entry()))
    assert accepts(binding, entry(), recorded=recorded)


async def test_a_resumed_stream_is_recorded_under_the_id_that_names_it():
    """Guards against an origin that expires while its stream goes on."""
    origins = Origins(r1=StreamOrigin("llm", "v1"))
    request = CallerRequest("r2", 9000.0, "", "", 0, 0, 0, "7", resumes="r1")
    records = Records()
    binding = StreamBinding(Targets(entry()), origins, records, Call(), request)
    assert (await binding.find_origin(ROUTE)).is_ok()
    assert not accepts(binding, entry(software="v2", target="e2"))
    assert origins.recorded == []
    assert accepts(binding, entry())
    assert origins.recorded == [("r1", StreamOrigin("llm", "v1"))]
    key = RouteKey("office.example", "/resume/")
    assert records.added == [("r1", key, StreamOrigin("llm", "v1"), 19.0)]


async def test_a_stream_that_no_caller_may_resume_is_not_recorded():
    origins = Origins()
    request = CallerRequest("r1", None, "", "", 0, 0, 0, "")
    binding = StreamBinding(Targets(entry()), origins, Records(), Call(), request)
    assert (await binding.find_origin(ROUTE._replace(resumable=False))).is_ok()
    assert accepts(binding, entry())
    assert origins.recorded == []


async def test_a_stream_of_an_origin_without_a_version_is_refused():
    origins = Origins(r1=StreamOrigin("llm", ""))
    request = CallerRequest("r2", None, "", "", 0, 0, 0, "7", resumes="r1")
    binding = StreamBinding(Targets(entry()), origins, Records(), Call(), request)
    refused = await binding.find_origin(ROUTE)
    assert refused.err_value.answer.status == 503


async def test_a_stream_that_no_vm_knows_goes_on_where_the_records_prove_it():
    """Guards against refusing streams whose VMs are all lost."""
    request = CallerRequest("r2", None, "", "", 0, 0, 0, "7", resumes="r1")
    records = Records(StreamOrigin("llm", "v1"))
    binding = StreamBinding(Targets(entry()), Origins(), records, Call(), request)
    assert (await binding.find_origin(ROUTE)).is_ok()
    assert binding.software == "v1"
