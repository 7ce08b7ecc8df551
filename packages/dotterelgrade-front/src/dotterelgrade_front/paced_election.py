"""Questions on the planner's term, with pauses while the store is silent."""

import time

from dotterelgrade_routing import platform_port

# A front asks from several places, each of which repeats a failed question at
# once; every call has a cost, and one that is cut off could claim nothing.
PAUSE_S = 0.6


class PacedElection:
    """Wraps an election; see `platform_port.Election`."""

    def __init__(self, election: platform_port.Election) -> None:
        """Initializes it without a failed question.

        Args:
            election: The election itself.
        """
        self._election = election
        self._next_at = float("-inf")

    def __repr__(self) -> str:
        """Shows the election."""
        return repr(self._election)

    def current(self) -> platform_port.Term:
        """Returns the newest term; see `platform_port.Election`.

        Raises:
            platform_port.StoreError: There was no usable answer, or the last
                question had none and is less than `PAUSE_S` old.
        """
        if time.monotonic() < self._next_at:
            raise platform_port.StoreError("the last question had no answer")
        try:
            return self._election.current()
        except platform_port.StoreError:
            self._next_at = time.monotonic() + PAUSE_S
            raise

    def claim(
        self, member: str, *, after: platform_port.Term
    ) -> platform_port.Term | None:
        """Claims the next term; see `platform_port.Election`."""
        return self._election.claim(member, after=after)
