"""HTTP answers as the fleets of tests and measurements see them."""

import json
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

CONNECT_S = 3
NO_ANSWER = 599


class Reply(NamedTuple):
    """An HTTP answer; ``status`` is 599 where none came whole."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body, read as JSON."""
        return json.loads(self.body)

    @property
    def error(self) -> tuple[int, str, str]:
        """Status, kind of error and what is told of the run."""
        return self.status, self.json["error"], self.json["ran"]

    @property
    def events(self) -> list[dict]:
        """The events of a streamed answer."""
        lines = self.body.decode().splitlines()
        found = [line for line in lines if line.startswith("data: ")]
        return [json.loads(line.removeprefix("data: ")) for line in found]

    @property
    def text(self) -> str:
        """The text of a streamed answer's tokens, in the order they came."""
        return "".join(event.get("t", "") for event in self.events)


async def fetch_reply(
    client: AsyncHTTPClient,
    method: str,
    address: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str] | None,
    timeout_s: float,
) -> Reply:
    """Send one HTTP request and return whatever came of it."""
    request = HTTPRequest(
        f"http://{address}{path}",
        method=method,
        body=body,
        headers=headers,
        connect_timeout=CONNECT_S,
        request_timeout=timeout_s,
        allow_nonstandard_methods=True,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return Reply(NO_ANSWER, {}, str(error).encode())
    return Reply(response.code, dict(response.headers), response.body or b"")
