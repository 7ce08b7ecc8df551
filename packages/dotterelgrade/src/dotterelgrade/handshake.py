"""Handshake of a connection: identifies and authenticates the peer."""

import dataclasses
import hmac
import os
from typing import Any

import gevent.socket
import msgpack

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import frame_codec

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Until a peer has shown that it knows the key, few bytes are kept for it.
_MAX_UNPROVEN_BYTES = 8 * 1024
_READ_BYTES = 4 * 1024
_NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessIdentity:
    """Identity that a process presents in its hello.

    Attributes:
        process: Process identifier, new at each start.
        role: Role of the process.
        host: Own IP address.
        port: Own peer port; 0 if it accepts no connections.
        failure_domain: Own failure domain.
        shared_key: Secret key shared by all processes of the fleet.
    """

    process: str
    role: connection_frames.Role
    host: str
    port: int
    failure_domain: str
    shared_key: bytes = dataclasses.field(repr=False)


def perform(
    sock: gevent.socket.socket, *, identity: ProcessIdentity, dialing: bool
) -> tuple[connection_frames.Hello, msgpack.Unpacker]:
    """Exchanges hellos and proofs with a peer.

    Args:
        sock: The connected socket.
        identity: Identity of this process.
        dialing: Whether this process opened the connection.

    Returns:
        The peer's hello, and the decoder, which may hold bytes received after
        the handshake.

    Raises:
        errors.DotterelgradeError: PEER_UNREACHABLE, PEER_UNAUTHENTICATED or
            FRAME_INVALID.
        OSError: The socket failed.
        ValueError: The peer sent undecodable bytes.
    """
    # The buffer is as large as a read at first, and grows with frames.
    unpacker = msgpack.Unpacker(
        max_buffer_size=MAX_FRAME_BYTES, read_size=_READ_BYTES, raw=False
    )
    own_hello = _make_hello(identity)
    _send_frame(sock, own_hello)
    peer_hello = _receive_frame(sock, unpacker, connection_frames.Hello)
    _check_version(peer_hello)
    own_label, peer_label = (b"dial", b"listen")
    if not dialing:
        own_label, peer_label = peer_label, own_label
    key = identity.shared_key
    _send_frame(
        sock,
        connection_frames.Proof(
            digest=_compute_proof(
                key, own_label, own_hello.nonce, peer_hello.nonce
            )
        ),
    )
    proof = _receive_frame(sock, unpacker, connection_frames.Proof)
    expected = _compute_proof(
        key, peer_label, peer_hello.nonce, own_hello.nonce
    )
    if not hmac.compare_digest(proof.digest, expected):
        raise errors.new_exception(
            errors.ErrorKind.PEER_UNAUTHENTICATED,
            "peer does not know the shared key",
        )
    return peer_hello, unpacker


def _make_hello(identity: ProcessIdentity) -> connection_frames.Hello:
    return connection_frames.Hello(
        version=connection_frames.PROTOCOL_VERSION,
        process=identity.process,
        role=identity.role,
        host=identity.host,
        port=identity.port,
        failure_domain=identity.failure_domain,
        nonce=os.urandom(_NONCE_BYTES),
    )


def _check_version(peer_hello: connection_frames.Hello) -> None:
    if peer_hello.version != connection_frames.PROTOCOL_VERSION:
        raise errors.new_exception(
            errors.ErrorKind.PEER_UNAUTHENTICATED,
            f"peer uses protocol version {peer_hello.version}, expected "
            f"{connection_frames.PROTOCOL_VERSION}",
        )


def _compute_proof(
    key: bytes, label: bytes, prover_nonce: bytes, verifier_nonce: bytes
) -> bytes:
    return hmac.digest(key, label + prover_nonce + verifier_nonce, "sha256")


def _send_frame(sock: gevent.socket.socket, message: Any) -> None:
    sock.sendall(frame_codec.encode(message))


def _receive_frame(
    sock: gevent.socket.socket, unpacker: msgpack.Unpacker, expected: type
) -> Any:
    received = 0
    while received <= _MAX_UNPROVEN_BYTES:
        for value in unpacker:
            message = frame_codec.from_wire(value)
            if not isinstance(message, expected):
                raise errors.new_exception(
                    errors.ErrorKind.FRAME_INVALID,
                    f"expected {expected.__name__}, got "
                    f"{type(message).__name__}",
                )
            return message
        data = sock.recv(_READ_BYTES)
        if not data:
            raise errors.new_exception(
                errors.ErrorKind.PEER_UNREACHABLE,
                "peer closed the connection during the handshake",
            )
        received += len(data)
        unpacker.feed(data)
    raise errors.new_exception(
        errors.ErrorKind.FRAME_INVALID,
        f"over {_MAX_UNPROVEN_BYTES} bytes before the end of the handshake",
    )
