"""Frames by which two processes open and end a connection."""

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
    """Opens a connection in both directions.

    Attributes:
        version: `PROTOCOL_VERSION` of the sender.
        process: Identifier of the sender's incarnation, new at each start.
        role: The sender's role.
        host: The sender's IP number.
        port: The sender's port for peers; 0 when it accepts none.
        failure_domain: The sender's failure domain.
        nonce: 16 random bytes for the peer's proof.
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
    """Says why the sender closes the connection."""

    reason: str
