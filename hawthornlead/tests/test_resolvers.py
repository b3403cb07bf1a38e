"""Tests of the resolver for IP addresses."""

import asyncio
import socket

from hawthornlead.resolvers import NumberResolver


async def test_ip_addresses_are_resolved_without_a_thread(monkeypatch):
    async def getaddrinfo(*args, **options):
        raise AssertionError("the event loop was called, which uses a thread")

    monkeypatch.setattr(asyncio.get_running_loop(), "getaddrinfo", getaddrinfo)
    resolver = NumberResolver()
    assert await resolver.resolve("127.0.0.1", 80) == [
        (socket.AF_INET, ("127.0.0.1", 80))
    ]
    found = await resolver.resolve("::1", 81)
    assert found[0][0] == socket.AF_INET6
    assert found[0][1][:2] == ("::1", 81)


async def test_host_names_are_resolved_by_the_event_loop(monkeypatch):
    async def getaddrinfo(host, port, **options):
        return [(socket.AF_INET, socket.SOCK_STREAM, 6, "", ("10.0.0.9", port))]

    monkeypatch.setattr(asyncio.get_running_loop(), "getaddrinfo", getaddrinfo)
    found = await NumberResolver().resolve("engine-1.example", 80)
    assert found == [(socket.AF_INET, ("10.0.0.9", 80))]
