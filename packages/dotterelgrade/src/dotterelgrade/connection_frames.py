"""Frames that open and close a connection between two processes."""

import enum

from dotterelgrade import frame_codec

PROTOCOL_VERSION = 1


class Role(enum.StrEnum):
    """The role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


@frame_codec.frame
@frame_codec.frozen
class Hello:
    """First frame that each side of a connection sends.

    Attributes:
        version: `PROTOCOL_VERSION` of the sender.
        process: Identifier of the sender process, new at each start.
        role: The sender's role.
        host: The sender's IP address.
        port: The sender's peer port; 0 if it accepts no connections.
        failure_domain: The sender's failure domain.
        nonce: 16 random bytes that the peer's proof must cover.
    """

    version: int
    process: str
    role: Role
    host: str
    port: int
    failure_domain: str
    nonce: bytes


@frame_codec.frame
@frame_codec.frozen
class Proof:
    """Proves knowledge of the shared key: HMAC-SHA256 over both nonces."""

    digest: bytes


@frame_codec.frame
@frame_codec.frozen
class Goodbye:
    """Announces that the sender closes the connection, with the reason."""

    reason: str
