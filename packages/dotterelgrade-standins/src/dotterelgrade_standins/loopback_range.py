"""Loopback addresses that one run has for itself."""

from collections.abc import Iterable, Iterator
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

    @property
    def prefix(self) -> str:
        """The first three numbers, with dots between them."""
        return self._prefix

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
def first_free(prefixes: Iterable[str]) -> Iterator[LoopbackRange]:
    """Owns the first free one of some ranges for the body of the context.

    Args:
        prefixes: The first three numbers of each, in order of preference.

    Raises:
        RangeTakenError: All of them are in use.
    """
    with contextlib.ExitStack() as stack:
        for prefix in prefixes:
            try:
                stack.enter_context(held(prefix))
            except RangeTakenError:
                continue
            yield LoopbackRange(prefix)
            return
    raise RangeTakenError("no free range of loopback addresses")


def reserved() -> contextlib.AbstractContextManager[LoopbackRange]:
    """Owns some free range; see `first_free`."""
    rng = random.SystemRandom()
    return first_free(
        f"127.{rng.choice(_RANGES)}.{rng.randint(1, 254)}"
        for _ in range(_TRIES)
    )


def free_network() -> str:
    """Returns the first two numbers of a network that no run owns now.

    Raises:
        RangeTakenError: Every network is in use.
    """
    networks = [f"127.{number}" for number in _NETWORKS]
    random.SystemRandom().shuffle(networks)
    with first_free(map(owner_range, networks)) as owned:
        return owned.prefix.rpartition(".")[0]


def owner_range(network: str) -> str:
    """Returns the range that stands for a network.

    Args:
        network: The first two numbers, with a dot between them.
    """
    return f"{network}.255"
