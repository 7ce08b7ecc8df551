"""Bounds the sum of the bytes that a process buffers for others.

Load pattern: any number of peers send bodies without end. Each account may hold
a small body without asking, so that large ones can't starve it; what exceeds
that comes out of a part that all accounts share.
"""

from collections.abc import Iterator
import contextlib

# Fraction of the capacity that is split evenly over the accounts.
_FREE_FRACTION = 0.5


class Account:
    """Bytes that one body, or all bodies of one connection, take up."""

    def __init__(self, budget: "MemoryBudget") -> None:
        """Initializes an empty account; see `MemoryBudget.open`.

        Args:
            budget: The budget that it draws on.
        """
        self._budget = budget
        self._held_bytes = 0

    def __repr__(self) -> str:
        """Shows the bytes held."""
        return f"<Account {self._held_bytes} bytes>"

    @property
    def held_bytes(self) -> int:
        """Bytes that are charged to it."""
        return self._held_bytes

    def resize(self, held_bytes: int) -> bool:
        """Changes how many bytes are charged.

        Args:
            held_bytes: Bytes that will be held.

        Returns:
            False if there is no room for them; nothing has changed then.
        """
        if not self._budget.move(self._held_bytes, held_bytes):
            return False
        self._held_bytes = held_bytes
        return True

    def hold(self, held_bytes: int) -> None:
        """Charges for bytes that are held whether or not there is room.

        Args:
            held_bytes: Bytes that are held.
        """
        self._budget.move(self._held_bytes, held_bytes, forced=True)
        self._held_bytes = held_bytes

    def beside(self) -> "Account":
        """Returns an empty account of the same budget."""
        return Account(self._budget)

    def close(self) -> None:
        """Releases everything."""
        self.resize(0)


class MemoryBudget:
    """The bytes that may be buffered, over all accounts."""

    def __init__(self, *, capacity_bytes: float, accounts: int) -> None:
        """Initializes an unused budget.

        Args:
            capacity_bytes: Bytes that may be held in all.
            accounts: Most accounts that are open at a time.
        """
        free_bytes = capacity_bytes * _FREE_FRACTION
        self._free_bytes_each = free_bytes / max(accounts, 1)
        self._shared_bytes = capacity_bytes - free_bytes
        self._used_bytes = 0.0

    def __repr__(self) -> str:
        """Shows how much of the shared part is used."""
        return (
            f"<MemoryBudget {self._used_bytes:.0f} of "
            f"{self._shared_bytes:.0f} shared bytes used>"
        )

    @property
    def shared_bytes(self) -> float:
        """Size of the part that all accounts share, bytes."""
        return self._shared_bytes

    @property
    def used_bytes(self) -> float:
        """Bytes of the shared part that are used."""
        return self._used_bytes

    @contextlib.contextmanager
    def open(self) -> Iterator[Account]:
        """Opens an account and releases what it holds at the end."""
        account = Account(self)
        try:
            yield account
        finally:
            account.close()

    def move(
        self, from_bytes: int, to_bytes: int, *, forced: bool = False
    ) -> bool:
        """Charges an account for another number of bytes.

        Args:
            from_bytes: Bytes that it was charged for.
            to_bytes: Bytes that it will hold.
            forced: Whether to charge it without room for them, too.

        Returns:
            False if the shared part has no room for them.
        """
        added = self._beyond_free(to_bytes) - self._beyond_free(from_bytes)
        full = self._used_bytes + added > self._shared_bytes
        if added > 0 and full and not forced:
            return False
        self._used_bytes += added
        return True

    def _beyond_free(self, held_bytes: int) -> float:
        return max(held_bytes - self._free_bytes_each, 0.0)


def unlimited() -> Account:
    """Returns an account that holds whatever is asked."""
    return Account(MemoryBudget(capacity_bytes=float("inf"), accounts=1))
