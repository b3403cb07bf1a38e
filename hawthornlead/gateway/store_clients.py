"""A client of the platform's store over HTTP: conditional writes, listings and watches.

Every call has its own time-out, because a connection whose state is lost on the network
path stays silent for good while new ones work::

    client = StoreClient(address="10.0.0.2:9000", timers=timers)
    found = await client.get("owners", "engine-3")
"""

import asyncio
import json
from typing import NamedTuple

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest

from ..answers.whole_clients import WholeAnswerClient
from ..eras.dated_revisions import era_of
from ..eras.store_eras import UNNAMED_ERA, StoreEras
from ..errors import ErrorKind, Failure
from ..outages.answer_gaps import AnswerGaps
from ..platform.fields import decode
from ..platform.headers import read_store_era
from ..platform.objects import (
    CONFIGURATION_KIND,
    deleted_path,
    list_path,
    object_body,
    object_path,
    read_changes,
    read_page,
    read_record,
    stale_object_path,
    watch_path,
)
from ..resolvers import NumberResolver
from ..timers import TimerService
from .gateway_metrics import GatewayMetrics
from .records import StoreChanges, StoredRecord

# The store answers within milliseconds; a slow one takes up to a hundred times as long.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.6
# How much longer than its wait a watch may take before its connection counts as dead.
WATCH_SLACK_S = 0.6
MAX_CALLS = 64
# Status codes of a store that is up but doesn't serve this VM, or serves nobody.
TURNED_AWAY = frozenset((429, 503))
SUCCEEDED = frozenset((200, 201))
NOT_FOUND = 404
GONE = 410
# The cheapest object to read: there is one configuration only, and the answer that this
# one doesn't exist is an answer too.
PROBED_OBJECT = (CONFIGURATION_KIND, "asked-for")
MAX_LIST_BYTES = 1 << 26


class _Answer(NamedTuple):
    """An answer of the store, and the era that it names."""

    status: int
    body: bytes
    era: int


class StoreClient:
    """Calls of the store from one VM; no call is retried here.

    Revisions are dated (``eras.dated_revisions``), so that those of an answer are
    ordered after all that VMs know of earlier eras.
    """

    def __init__(
        self,
        *,
        address: str,
        timers: TimerService,
        metrics: GatewayMetrics | None = None,
        eras: StoreEras | None = None,
    ):
        self._metrics = metrics
        self._eras = eras or StoreEras(now=timers.now)
        self._url = f"http://{address}"
        self._timers = timers
        self._gaps = AnswerGaps(now=timers.now)
        self._client = WholeAnswerClient(
            force_instance=True,
            max_clients=MAX_CALLS,
            max_body_size=MAX_LIST_BYTES,
            resolver=NumberResolver(),
        )

    @property
    def answered_at(self) -> float:
        """When a call was last served, in seconds of the ``TimerService``."""
        return self._gaps.answered_at

    @property
    def gaps(self) -> AnswerGaps:
        """The gaps between its answers to this VM."""
        return self._gaps

    @property
    def eras(self) -> StoreEras:
        """The eras that the store's answers have named."""
        return self._eras

    def close(self) -> None:
        """Close the client and end all calls."""
        self._client.close()

    async def get(self, kind: str, name: str) -> Result[StoredRecord | None, Failure]:
        """Return one object, None if there is none of this name."""
        answer = await self._call("GET", object_path(kind, name))
        if answer.is_err():
            return answer
        if answer.ok_value.status == NOT_FOUND:
            return Ok(None)
        return _parsed(answer.ok_value, read_record)

    async def probe(self) -> None:
        """Read an object that need not exist, to update ``answered_at``."""
        await self._call("GET", stale_object_path(*PROBED_OBJECT))

    async def create(
        self, kind: str, name: str, spec: dict
    ) -> Result[StoredRecord, Failure]:
        """Create an object; ``VERSION_CONFLICT`` if one of this name exists."""
        body = object_body(name, spec, None)
        answer = await self._call("POST", list_path(kind), body)
        return answer.and_then(lambda got: _parsed(got, read_record))

    async def replace(
        self, kind: str, name: str, spec: dict, revision: int
    ) -> Result[StoredRecord, Failure]:
        """Replace an object; ``VERSION_CONFLICT`` if it is not at ``revision``.

        A deleted object fails the same way. If it counted as a store failure, a VM
        whose lease object was deleted would never create it again. A revision of an
        earlier era fails too: the store may have given its number to another change.
        """
        if era_of(revision) < self._eras.current:
            return _restored()
        body = object_body(name, spec, revision)
        answer = await self._call("PUT", object_path(kind, name), body)
        if answer.is_err():
            return answer
        if answer.ok_value.status == NOT_FOUND:
            return Err(Failure(ErrorKind.VERSION_CONFLICT, "the object is gone"))
        if answer.ok_value.era > era_of(revision):
            return _restored()
        return _parsed(answer.ok_value, read_record)

    async def delete(
        self, kind: str, name: str, revision: int
    ) -> Result[None, Failure]:
        """Delete an object; ``VERSION_CONFLICT`` if it is not at ``revision``."""
        if era_of(revision) < self._eras.current:
            return _restored()
        answer = await self._call("DELETE", deleted_path(kind, name, revision))
        if answer.is_err():
            return answer
        if answer.ok_value.status == NOT_FOUND:
            return Ok(None)
        return _parsed(answer.ok_value, lambda body, era: None)

    async def list_all(
        self, kind: str, stale: bool = False
    ) -> Result[StoreChanges, Failure]:
        """Return all objects of a kind as changes, and where to watch from.

        That is the revision of the first page: changes to a page while later ones are
        read would otherwise be missed. Pages of two eras don't make one listing. A
        ``stale`` listing may be seconds old and costs a tenth.
        """
        records = []
        skipped = 0
        revision: int | None = None
        after = ""
        while True:
            answer = await self._call("GET", list_path(kind, after, stale))
            page = answer.and_then(lambda got: _parsed(got, read_page))
            if page.is_err():
                return page
            found = page.ok_value
            records += found.records
            skipped += found.skipped
            if revision is None:
                revision = found.revision
            if era_of(found.revision) != era_of(revision):
                return Err(_unavailable("a new era began between two pages"))
            if not found.more:
                return Ok(StoreChanges(tuple(records), revision, skipped))
            if not found.records:
                # Taken as complete, the listing would remove all later objects.
                return Err(_unavailable("a page has no name to go on from"))
            after = found.records[-1].name

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges | None, Failure]:
        """Wait for changes after a revision; None if that history is gone.

        So it is if the answer is of another era: it has the changes after another
        revision of the same number.
        """
        path = watch_path(kind, revision, wait_s)
        answer = await self._call("GET", path, timeout_s=wait_s + WATCH_SLACK_S)
        if answer.is_err():
            return answer
        got = answer.ok_value
        other_era = got.status in SUCCEEDED and got.era != era_of(revision)
        if other_era or got.status == GONE:
            return Ok(None)
        return _parsed(got, read_changes)

    async def _call(
        self, method: str, path: str, body: dict | None = None, timeout_s=CALL_TIMEOUT_S
    ) -> Result[_Answer, Failure]:
        request = HTTPRequest(
            self._url + path,
            method=method,
            headers={"Content-Type": "application/json"},
            body=None if body is None else json.dumps(body),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
        )
        sent_at = self._timers.now()
        try:
            response = await asyncio.shield(self._fetch(request))
        except (HTTPClientError, OSError) as error:
            self._count("unanswered")
            self._gaps.record_failure()
            return Err(_unavailable(str(error) or type(error).__name__))
        answered_at = self._timers.now()
        era = read_store_era(response.headers)
        self._eras.observe(era)
        if era is None:
            era = UNNAMED_ERA
        if response.code in TURNED_AWAY:
            self._gaps.record_failure()
        else:
            self._gaps.record_answer()
        self._count(str(response.code))
        if self._metrics is not None and "watch=" not in path:
            self._metrics.store_time.observe(answered_at - sent_at)
        return Ok(_Answer(response.code, response.body, era))

    def _fetch(self, request: HTTPRequest) -> asyncio.Future:
        """Start a call that ends by itself even if its caller is cancelled.

        A watch that is cancelled while its VM stops leaves a call whose exception
        nobody retrieves, which would be logged as an error of the program.
        """
        fetching = self._client.fetch(request, raise_error=False)
        fetching.add_done_callback(_retrieve_exception)
        return fetching

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.store_calls.labels(outcome).inc()


def _retrieve_exception(fetching: asyncio.Future) -> None:
    if not fetching.cancelled():
        fetching.exception()


def _parsed(answer: _Answer, parse) -> Result:
    if answer.status == 409:
        return Err(Failure(ErrorKind.VERSION_CONFLICT, "another write came first"))
    if answer.status not in SUCCEEDED:
        return Err(_unavailable(f"answered {answer.status}"))
    try:
        return Ok(parse(decode(answer.body), answer.era))
    except ValueError as error:
        return Err(_unavailable(f"its answer is not valid: {error!r}"))


def _restored() -> Err[Failure]:
    detail = "the store came back from an older copy"
    return Err(Failure(ErrorKind.VERSION_CONFLICT, detail))


def _unavailable(detail: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, f"store: {detail}", 1.0)
