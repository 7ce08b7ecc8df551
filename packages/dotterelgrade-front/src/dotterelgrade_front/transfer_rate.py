"""Decides whether a peer sends or reads too slowly.

Load: clients that transfer a byte now and then, so that no single wait reaches
its timeout while the connection holds memory.
"""


class TransferRate:
    """Compares a transfer with a least rate, window by window."""

    def __init__(self, *, bytes_per_s: float, window_s: float) -> None:
        """Initializes an empty window.

        Args:
            bytes_per_s: Least rate, bytes/s.
            window_s: Time waited for the peer that makes up a window, s.
        """
        self._least_bytes = bytes_per_s * window_s
        self._window_s = window_s
        self._waited_s = 0.0
        self._moved_bytes = 0
        self._too_slow = False

    def __repr__(self) -> str:
        """Shows the window."""
        seconds = f"{self._waited_s:.1f} s"
        return f"<TransferRate {self._moved_bytes} bytes in {seconds}>"

    @property
    def left_s(self) -> float:
        """Time of waiting until the window ends, s."""
        return self._window_s - self._waited_s

    @property
    def too_slow(self) -> bool:
        """Whether a whole window had fewer bytes than it must."""
        return self._too_slow

    def restart(self) -> None:
        """Begins a window anew, as if no time had passed."""
        self._waited_s = 0.0
        self._moved_bytes = 0
        self._too_slow = False

    def add(self, moved_bytes: int, *, waited_s: float) -> None:
        """Adds a part of the transfer.

        Args:
            moved_bytes: Bytes that arrived, or that the peer took.
            waited_s: Time spent waiting for the peer, s.
        """
        self._moved_bytes += moved_bytes
        self._waited_s += waited_s
        if self._waited_s < self._window_s:
            return
        self._too_slow |= self._moved_bytes < self._least_bytes
        self._waited_s = 0.0
        self._moved_bytes = 0
