"""Loopback addresses that one run has for itself."""

from collections.abc import Iterator
import contextlib
import random
import socket

# Whoever listens at this host and port of a range owns it.
_OWNER_HOST = 250
_OWNER_PORT = 17_998
_TRIES = 200
# Other stand-ins have the networks below and above these.
_NETWORKS = range(60, 100)
_RANGES = range(100, 200)


class RangeTakenError(Exception):
    """The addresses are in use by another run."""


class LoopbackRange:
    """The addresses 127.X.Y.1 to 127.X.Y.249."""

    def __init__(self, prefix: str) -> None:
        """Initializes a range.

        Args:
            prefix: The first three numbers, with dots between them.
        """
        self._prefix = prefix

    def __repr__(self) -> str:
        """Shows the range."""
        return f"<LoopbackRange {self._prefix}.0/24>"

    def host(self, number: int) -> str:
        """Returns an address of the range.

        Args:
            number: From 1 to 249.
        """
        return f"{self._prefix}.{number}"


@contextlib.contextmanager
def held(prefix: str) -> Iterator[None]:
    """Owns a range for the body of the context.

    Args:
        prefix: The first three numbers, with dots between them.

    Raises:
        RangeTakenError: Another run owns it.
    """
    owner = socket.socket()
    with owner:
        try:
            owner.bind((f"{prefix}.{_OWNER_HOST}", _OWNER_PORT))
            owner.listen()
        except OSError as error:
            raise RangeTakenError(
                f"addresses {prefix}.* are in use by another run"
            ) from error
        yield


@contextlib.contextmanager
def reserved() -> Iterator[LoopbackRange]:
    """Owns some free range for the body of the context.

    Raises:
        RangeTakenError: Every range that was tried is in use.
    """
    rng = random.SystemRandom()
    for _ in range(_TRIES):
        prefix = f"127.{rng.choice(_RANGES)}.{rng.randint(1, 254)}"
        with contextlib.ExitStack() as stack:
            try:
                stack.enter_context(held(prefix))
            except RangeTakenError:
                continue
            yield LoopbackRange(prefix)
            return
    raise RangeTakenError("no free range of loopback addresses")


def free_network() -> str:
    """Returns the first two numbers of a network that no run owns now.

    Raises:
        RangeTakenError: Every network is in use.
    """
    numbers = list(_NETWORKS)
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        network = f"127.{number}"
        with contextlib.suppress(RangeTakenError), held(owner_range(network)):
            return network
    raise RangeTakenError("no free network of loopback addresses")


def owner_range(network: str) -> str:
    """Returns the range that stands for a network.

    Args:
        network: The first two numbers, with a dot between them.
    """
    return f"{network}.255"
