"""A client of the object API over HTTP, with tornado's HTTP client."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from urllib.parse import quote

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest

from ..answers.whole_clients import WholeAnswerClient
from ..errors import ErrorKind, Failure
from ..resolvers import NumberResolver
from .stored_objects import StoredObject, StoreList, WatchLine
from .stores import MAX_VALUE_BYTES, ObjectStore, unavailable
from .watches import WatchGone

# A line holds one value and its name.
MAX_LINE_BYTES = 2 * MAX_VALUE_BYTES


class HttpObjectStore(ObjectStore):
    """The object API over HTTP, with a new connection for each call and watch."""

    def __init__(self, *, settings, timers, rng, events=None, metrics=None):
        super().__init__(
            settings=settings, timers=timers, rng=rng, events=events, metrics=metrics
        )
        self._url = f"http://{settings['STORE_ADDRESS']}/objects/"
        self._timeout_s = settings["STORE_TIMEOUT_S"]
        self._client = WholeAnswerClient(
            force_instance=True, max_clients=64, resolver=NumberResolver()
        )
        # Watches stay open, so they must not use the connection limit of calls.
        self._watch_client = WholeAnswerClient(
            force_instance=True,
            max_clients=64,
            max_body_size=1 << 40,
            resolver=NumberResolver(),
        )

    async def stop(self) -> None:
        """End all watches and close the clients."""
        await super().stop()
        self._client.close()
        self._watch_client.close()

    async def open_watch(self, kind: str, since: int) -> AsyncIterator[WatchLine]:
        """Open one connection that streams the changes after ``since``."""
        lines: asyncio.Queue[WatchLine | None] = asyncio.Queue()
        fetch = asyncio.ensure_future(self._fetch_watch(kind, since, lines))
        try:
            while (line := await lines.get()) is not None:
                yield line
            await fetch
        finally:
            # The connection itself closes at its request timeout at the latest.
            fetch.cancel()

    async def _fetch_watch(self, kind: str, since: int, lines: asyncio.Queue) -> None:
        rest = bytearray()

        def on_chunk(chunk: bytes) -> None:
            rest.extend(chunk)
            *whole, last = bytes(rest).split(b"\n")
            rest[:] = last
            if len(rest) > MAX_LINE_BYTES:
                raise ValueError(f"a line of the watch is over {MAX_LINE_BYTES} bytes")
            for line in whole:
                if line.strip():
                    lines.put_nowait(_watch_line(line))

        request = HTTPRequest(
            f"{self._url}{quote(kind, safe='')}?watch=1&since={since}",
            connect_timeout=self._timeout_s,
            request_timeout=self._settings["WATCH_RELIST_S"],
            streaming_callback=on_chunk,
        )
        try:
            await self._watch_client.fetch(request)
        except HTTPClientError as error:
            if error.code == 410:
                raise WatchGone from error
            raise OSError(str(error)) from error
        finally:
            lines.put_nowait(None)

    async def _get(self, kind, name) -> Result[StoredObject | None, Failure]:
        answer = await self._call("GET", kind, name)
        if answer.is_err():
            return answer
        if answer.ok_value.code == 404:
            return Ok(None)
        return _parsed(answer.ok_value, _object)

    async def _put(self, kind, name, value, version) -> Result[StoredObject, Failure]:
        answer = await self._call("PUT", kind, name, _condition(version), value)
        if answer.is_err():
            return answer
        return _parsed(
            answer.ok_value,
            lambda body: StoredObject(kind, name, int(body["version"]), value),
            write=True,
        )

    async def _delete(self, kind, name, version) -> Result[None, Failure]:
        answer = await self._call("DELETE", kind, name, _condition(version))
        if answer.is_err():
            return answer
        if answer.ok_value.code in (200, 204, 404):
            return Ok(None)
        return _parsed(answer.ok_value, lambda body: None, write=True)

    async def _list(self, kind) -> Result[StoreList, Failure]:
        answer = await self._call("GET", kind)
        if answer.is_err():
            return answer
        return _parsed(answer.ok_value, _store_list)

    async def _call(self, method, kind, name=None, headers=None, value=None) -> Result:
        path = quote(kind, safe="")
        if name is not None:
            path += "/" + quote(name, safe="")
        request = HTTPRequest(
            self._url + path,
            method=method,
            headers=headers,
            body=None if value is None else json.dumps(value),
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        try:
            return Ok(await self._client.fetch(request, raise_error=False))
        except ConnectionRefusedError as error:
            return Err(unavailable(f"store: {error}", False))
        except (HTTPClientError, OSError) as error:
            return Err(unavailable(f"store: {error}", method != "GET"))


def _condition(version: int | None) -> dict[str, str]:
    if version is None:
        return {"If-None-Match": "*"}
    return {"If-Match": str(version)}


def _object(body: dict) -> StoredObject:
    return StoredObject(
        body["kind"], body["name"], int(body["version"]), dict(body["value"])
    )


def _store_list(body: dict) -> StoreList:
    return StoreList(int(body["version"]), tuple(_object(i) for i in body["items"]))


def _watch_line(line: bytes) -> WatchLine:
    body = json.loads(line)
    return WatchLine(
        body["type"], int(body["version"]), body.get("name", ""), body.get("value")
    )


def _parsed(response, parse: Callable, write: bool = False) -> Result:
    if response.code == 412:
        return Err(Failure(ErrorKind.VERSION_CONFLICT, "another write came first"))
    if response.code == 413:
        return Err(Failure(ErrorKind.TOO_LARGE, "the value is over the store's limit"))
    if response.code not in (200, 201):
        return Err(unavailable(f"store answered {response.code}", write))
    try:
        return Ok(parse(json.loads(response.body)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(unavailable(f"store's answer is not valid: {error!r}", write))
