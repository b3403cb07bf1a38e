"""The registry of messages: every message type by its name on the wire."""

from ..registries import Registry

PROTOCOL_VERSION = 1

MESSAGES: Registry[type] = Registry("message")
message = MESSAGES.register
