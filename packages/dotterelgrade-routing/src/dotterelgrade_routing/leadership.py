"""Whether this front plans placement and collects the fronts' loads.

Load pattern: the planner is killed, paused or cut off from the store while
others go on, or the store is away for all; or it runs on a host whose link is
too narrow for the fronts' and engines' words, and takes all engines for silent.
Ownership of one partition in a
group of the store elects the planner; while the store is away, the first front
in a common order acts as planner. Orders are compare-and-set at the engines,
so a second planner can do no harm.
"""

from collections.abc import Iterable
import dataclasses

from dotterelgrade import rendezvous

# A planner steps down when others have heard the store for so long after it
# was last confirmed; reads and renewals are a second or two apart.
CONFIRMED_FOR_S = 3.5
# The store counts as away after this silence; each front that others come
# before waits longer, so that an earlier one has begun to act.
STORE_AWAY_S = 3.0
ACT_STEP_S = 1.0
# An election takes a few renewals of the lease.
MOST_DENIALS = 4
# Fronts stand for election one after another, since each further member moves
# the partitions of the others.
STAND_STEP_S = 0.4
MOST_STAND_STEPS = 6
# A planner speaks to all fronts and engines several times a second.
LEAST_CORES = 0.4
LEAST_LINK_BITS_PER_S = 40e6
# Fronts on weaker hosts stand, or act, only if no other one does.
WEAKER_WAIT_S = 3.0
# A planner that hears so few of the engines doubts its own link first.
MOST_SILENT = 0.5
# Who has just begun to plan does not pass it on yet.
SHORTEST_LEAD_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Confirmation:
    """What the store last said.

    Attributes:
        elected: Whether this front owns the partition.
        at: Monotonic time at which the question was sent, s.
    """

    elected: bool
    at: float


class Leadership:
    """Decides from the store's word and the other fronts' reach of it.

    An elected planner leads on while neither it nor any front that is
    connected to it reaches the store.
    """

    def __init__(self) -> None:
        """Initializes a front that is not elected."""
        self._last = Confirmation(elected=False, at=float("-inf"))
        self._acting = False
        self._denials = 0

    def __repr__(self) -> str:
        """Shows the last confirmation."""
        return f"<Leadership {self._last}>"

    def confirm(self, confirmation: Confirmation) -> None:
        """Takes in the store's word.

        Who acts goes on until it is elected, or until the store has said
        several times that it is not: somebody else is then.
        """
        self._last = confirmation
        self._denials = 0 if confirmation.elected else self._denials + 1
        if confirmation.elected or self._denials >= MOST_DENIALS:
            self._acting = False

    def try_acting(
        self, *, store_silent_s: float, asked: int, strong: bool = True
    ) -> bool:
        """Leads without an election, if it is this front's turn.

        Args:
            store_silent_s: Time since the store last answered, s.
            asked: How many fronts were asked in vain.
            strong: Whether its host is strong enough for a planner.

        Returns:
            Whether the front leads from now on, until the store's next word.
        """
        turn_s = STORE_AWAY_S + ACT_STEP_S * asked
        if store_silent_s < turn_s + (0.0 if strong else WEAKER_WAIT_S):
            return False
        self.succeed()
        return True

    def succeed(self) -> None:
        """Leads without an election, since the planner that leaves said so."""
        self._acting = True
        self._denials = 0

    def note_others(self, *, heard_store_at: float) -> None:
        """Takes in when a connected front last heard the store.

        A planner that the store has not confirmed since long before steps
        down, and stays down until the store elects it again.

        Args:
            heard_store_at: Monotonic time, s; the latest of all fronts.
        """
        if heard_store_at - self._last.at > CONFIRMED_FOR_S:
            self._last = dataclasses.replace(self._last, elected=False)

    def resign(self) -> None:
        """Leads no longer, until the store elects this front again."""
        self._acting = False
        self._last = dataclasses.replace(self._last, elected=False)

    @property
    def leads(self) -> bool:
        """Whether this front leads."""
        return self._acting or self._last.elected


def successors(
    fronts: Iterable[str], *, own: str, planner: str
) -> tuple[str, ...]:
    """Returns whom to ask for a picture while the store is away.

    Args:
        fronts: All fronts that were known last.
        own: The front that asks.
        planner: The front that planned last, or empty.

    Returns:
        The last planner, then the fronts before the own one in an order that
        is the same at every front.
    """
    ranked = rendezvous.rank("planner", {*fronts, own})
    before = ranked[: ranked.index(own)]
    if planner and planner != own:
        before = [planner, *(front for front in before if front != planner)]
    return tuple(before)


def heir(fronts: Iterable[str]) -> str:
    """Returns the front that plans after one that leaves, or empty.

    Args:
        fronts: Those that stay and can be reached.
    """
    return next(iter(rendezvous.rank("planner", set(fronts))), "")


def stand_delay_s(
    fronts: Iterable[str], *, own: str, chance: float, strong: bool = True
) -> float:
    """Returns how long the planner must be missing before a front stands, s.

    Args:
        fronts: All fronts that were known last; empty after a start.
        own: The front that asks.
        chance: From 0 to 1, spreads fronts that know no others.
        strong: Whether its host is strong enough for a planner.
    """
    known = set(fronts)
    weaker_s = 0.0 if strong else WEAKER_WAIT_S
    if not known:
        return weaker_s + chance * STAND_STEP_S * MOST_STAND_STEPS / 2
    place = rendezvous.rank("planner", {*known, own}).index(own)
    return weaker_s + min(place, MOST_STAND_STEPS) * STAND_STEP_S


def is_strong(*, cores: float, link_bits_per_s: float) -> bool:
    """Returns whether a host is strong enough for a planner.

    Args:
        cores: Share of a core that a front may use; more with several cores.
        link_bits_per_s: Bandwidth of its link, bit/s.
    """
    return cores >= LEAST_CORES and link_bits_per_s >= LEAST_LINK_BITS_PER_S


def should_pass_on(
    *, led_s: float, silent: float, strong: bool, stronger_waits: bool
) -> bool:
    """Returns whether a planner leaves its place to another front.

    Args:
        led_s: How long it has planned, s.
        silent: Share of the engines that it does not hear.
        strong: Whether its host is strong enough.
        stronger_waits: Whether a front on a strong host is connected.
    """
    if led_s < SHORTEST_LEAD_S:
        return False
    return silent > MOST_SILENT or (stronger_waits and not strong)
