"""The handshake of a stream: who the peer is, and that it knows the key."""

import dataclasses
import hmac
import os
from typing import Any

import gevent.socket
import msgpack

from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import greetings

MAX_FRAME_BYTES = 16 * 1024 * 1024
_READ_BYTES = 4 * 1024
_NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """What a process says about itself in the hello.

    Attributes:
        process: Identifier of the incarnation.
        role: Role of the process.
        host: Own IP number.
        port: Own port for peers; 0 when it accepts none.
        failure_domain: Own failure domain.
        shared_key: Key that every process of the fleet knows.
    """

    process: str
    role: greetings.Role
    host: str
    port: int
    failure_domain: str
    shared_key: bytes = dataclasses.field(repr=False)


def perform(
    sock: gevent.socket.socket, *, identity: Identity, dialing: bool
) -> tuple[greetings.Hello, msgpack.Unpacker]:
    """Exchanges hellos and proofs with a peer.

    Args:
        sock: The connected socket.
        identity: What this process says about itself.
        dialing: Whether this process opened the connection.

    Returns:
        The peer's hello, and the decoder with what it read past the handshake.

    Raises:
        errors.DotterelgradeError: PEER_UNREACHABLE, PEER_UNAUTHENTICATED or
            FRAME_INVALID.
        OSError: The socket failed.
        ValueError: The peer sent undecodable bytes.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES, raw=False)
    mine = _hello(identity)
    _send_now(sock, mine)
    theirs = _read_one(sock, unpacker, greetings.Hello)
    _check_version(theirs)
    own_label, peer_label = (b"dial", b"listen")
    if not dialing:
        own_label, peer_label = peer_label, own_label
    key = identity.shared_key
    _send_now(
        sock,
        greetings.Proof(
            digest=_prove(key, own_label, mine.nonce, theirs.nonce)
        ),
    )
    proof = _read_one(sock, unpacker, greetings.Proof)
    expected = _prove(key, peer_label, theirs.nonce, mine.nonce)
    if not hmac.compare_digest(proof.digest, expected):
        raise errors.fail(
            errors.ErrorKind.PEER_UNAUTHENTICATED,
            "peer does not know the shared key",
        )
    return theirs, unpacker


def _hello(identity: Identity) -> greetings.Hello:
    return greetings.Hello(
        version=greetings.PROTOCOL_VERSION,
        process=identity.process,
        role=identity.role,
        host=identity.host,
        port=identity.port,
        failure_domain=identity.failure_domain,
        nonce=os.urandom(_NONCE_BYTES),
    )


def _check_version(theirs: greetings.Hello) -> None:
    if theirs.version != greetings.PROTOCOL_VERSION:
        raise errors.fail(
            errors.ErrorKind.PEER_UNAUTHENTICATED,
            f"peer speaks version {theirs.version}, expected "
            f"{greetings.PROTOCOL_VERSION}",
        )


def _prove(key: bytes, label: bytes, mine: bytes, theirs: bytes) -> bytes:
    return hmac.digest(key, label + mine + theirs, "sha256")


def _send_now(sock: gevent.socket.socket, message: Any) -> None:
    sock.sendall(frame_codec.encode(message))


def _read_one(
    sock: gevent.socket.socket, unpacker: msgpack.Unpacker, expected: type
) -> Any:
    while True:
        for value in unpacker:
            message = frame_codec.from_wire(value)
            if not isinstance(message, expected):
                raise errors.fail(
                    errors.ErrorKind.FRAME_INVALID,
                    f"expected {expected.__name__}, got "
                    f"{type(message).__name__}",
                )
            return message
        data = sock.recv(_READ_BYTES)
        if not data:
            raise errors.fail(
                errors.ErrorKind.PEER_UNREACHABLE,
                "peer closed during the handshake",
            )
        unpacker.feed(data)
