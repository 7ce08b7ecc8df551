"""What the faults of a soak have in common."""

from collections.abc import Callable, Iterator, Mapping
import contextlib
import dataclasses

from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_fleet

Strike = Callable[[soak_fleet.Fleet, float], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A kind of fault.

    Attributes:
        strike: Strikes a fleet for about so long, s, and returns when it is
            over.
        planned: Whether it excuses nothing, so that checks with a time bound
            hold beside it.
    """

    strike: Strike
    planned: bool


class Faults:
    """Kinds of faults, registered by a decorator."""

    def __init__(self) -> None:
        """Initializes a registry without faults."""
        self._by_name: dict[str, Fault] = {}

    def __repr__(self) -> str:
        """Shows the names."""
        return f"<Faults {', '.join(self._by_name)}>"

    @property
    def by_name(self) -> Mapping[str, Fault]:
        """The registered faults."""
        return dict(self._by_name)

    def register(
        self, name: str, *, planned: bool = False
    ) -> Callable[[Strike], Strike]:
        """Returns a decorator that registers a fault.

        Args:
            name: Its name on the command line.
            planned: Whether it excuses nothing.
        """

        def register(strike: Strike) -> Strike:
            self._by_name[name] = Fault(strike=strike, planned=planned)
            return strike

        return register


@contextlib.contextmanager
def disturbing(
    fleet: soak_fleet.Fleet, part: soak_evidence.Part, name: str = ""
) -> Iterator[None]:
    """Notes a disturbance for the body of the context.

    Args:
        fleet: The fleet.
        part: What is disturbed.
        name: Name of the front or the backend server; empty for all.
    """
    disturbance = fleet.evidence.disturb(part, name)
    try:
        yield
    finally:
        fleet.evidence.calm(disturbance)
