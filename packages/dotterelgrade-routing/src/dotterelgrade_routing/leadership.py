"""Whether this front plans placement and collects the fronts' loads.

Load pattern: the planner is killed, paused or cut off from the store while
others go on, or the store is away for all; or it runs on a host whose link is
too narrow for the reports of fronts and engines, and takes all engines for
silent; or all processes start at once, and each of them could plan.

A term is claimed by compare-and-set in the store, so that one front wins and
stays planner until it does not answer; a planner that starts again finds its
own term and goes on. While the store is away, the first front in a common order
acts as planner. Orders are compare-and-set at the engines, so a second planner
can do no harm.

A store that comes back from an older copy gives numbers of terms out again, so
a term belongs to an era of the store. A planner whose term is gone with what
was written since claims the next one at once, and plans on meanwhile.
"""

from collections.abc import Iterable
import dataclasses

from dotterelgrade import rendezvous
from dotterelgrade_routing import platform_port

# A planner steps down when others have heard the store for so long after it
# was last confirmed; it asks the store every second.
CONFIRMED_FOR_S = 3.5
# It steps down sooner if it does not hear the store at all any more: what it
# plans with is then older than what the others know.
HEARD_FOR_S = 1.25
# The store counts as away after this silence; each front that others come
# before waits longer, so that an earlier one has begun to act.
STORE_AWAY_S = 3.0
ACT_STEP_S = 1.0
# A planner asks the store this often whether its term is the newest.
CONFIRM_EVERY_S = 1.0
# A claim whose answer was lost is found out, and planning begun, in this time.
SETTLES_S = 1.5
# Fronts claim a term one after another, since each claim has a price.
CLAIM_STEP_S = 0.4
MOST_CLAIM_STEPS = 6
# A planner speaks to all fronts and engines several times a second.
LEAST_CORES = 0.4
LEAST_LINK_BITS_PER_S = 40e6
# Fronts on weaker hosts claim, or act, only if no other one does.
WEAKER_WAIT_S = 3.0
# A planner that hears so few of the engines doubts its own link first.
MOST_SILENT = 0.5
# Who has just begun to plan does not pass it on yet.
SHORTEST_LEAD_S = 5.0


class Leadership:
    """Decides from the store's terms and the other fronts' reach of it.

    A planner leads on while neither it nor any front that is connected to it
    reaches the store.
    """

    def __init__(self, own: str) -> None:
        """Initializes a front that knows no term.

        Args:
            own: `IP:PORT` of this front.
        """
        self._own = own
        self._term: platform_port.Term | None = None
        self._confirmed_at = float("-inf")
        self._elected = False
        self._acting = False
        self._succeeds: platform_port.Term | None = None
        self._cut_off = False
        self._resigned: tuple[int, int] | None = None
        self._unanswered: tuple[int, int] | None = None
        self._answered = ""
        self._vacant_since: float | None = None

    def __repr__(self) -> str:
        """Shows the term and why this front leads."""
        reason = "acting" if self._acting else "elected"
        return f"<Leadership {self._term} {reason if self.leads else ''}>"

    @property
    def leads(self) -> bool:
        """Whether this front leads."""
        return self._acting or self._elected

    @property
    def term(self) -> platform_port.Term | None:
        """The newest term that this front has read."""
        return self._term

    @property
    def cut_off(self) -> bool:
        """Whether it stepped down only since it can't reach the store."""
        return self._cut_off and not self.leads

    def note_term(self, term: platform_port.Term, *, at: float) -> None:
        """Takes in the newest term.

        Who acts goes on until another front has claimed a term after the one
        that ended. A planner whose own term is missing in a new era of the
        store acts until it has claimed the next one, unless another front has.

        Args:
            term: As the store has it.
            at: Monotonic time at which the store was asked, s.
        """
        if self._term is not None and term.rank < self._term.rank:
            # An answer that was late; terms only grow.
            return
        own = term.planner == self._own
        self._acting = self._acts_on(term, own=own)
        self._cut_off = self._cut_off and own
        self._term = term
        self._elected = own and term.rank != self._resigned
        if self._elected:
            self._confirmed_at = at
            self._acting = self._cut_off = False
            self._vacant_since = None

    def _acts_on(self, term: platform_port.Term, *, own: bool) -> bool:
        """Returns whether this front acts although a term was read."""
        known = self._term
        if known is not None and term.era > known.era:
            # A smaller number is what the copy held; others were claimed since.
            return self.leads and not own and term.number < known.number
        if self._succeeds is not None and term.rank <= self._succeeds.rank:
            return self._acting
        return self._acting and known is not None and term.rank == known.rank

    def note_unanswered(self, *, now: float) -> None:
        """Takes in that the planner of the newest term did not answer."""
        rank = None if self._term is None else self._term.rank
        if self._vacant_since is None or rank != self._unanswered:
            self._vacant_since = now
        self._unanswered = rank

    def note_answered(self, planner: str) -> None:
        """Takes in that a planner sends its snapshots.

        Args:
            planner: `IP:PORT`; its term may not have been read yet.
        """
        self._vacant_since = None
        self._answered = planner

    def should_claim(self, *, delay_s: float, now: float) -> bool:
        """Returns whether this front claims the next term.

        Only the term whose planner did not answer is ended: a newer one has
        a planner that nobody has asked yet.

        Args:
            delay_s: How long the planner must be missing, s.
            now: Monotonic time, s.
        """
        if self._term is None or self._elected:
            return False
        if self._acting:
            return True
        if self._vacant_since is None or self._unanswered != self._term.rank:
            return False
        if self._term.planner not in ("", self._answered):
            # Its planner may not know yet that its claim was accepted.
            delay_s += SETTLES_S
        return now - self._vacant_since >= delay_s

    def try_acting(
        self, *, store_silent_s: float, asked: int, strong: bool = True
    ) -> bool:
        """Leads without an election, if it is this front's turn.

        Args:
            store_silent_s: Time since the store last answered, s.
            asked: How many fronts were asked in vain.
            strong: Whether its host is strong enough for a planner.

        Returns:
            Whether the front leads from now on, until another one claims a
            term.
        """
        turn_s = STORE_AWAY_S + ACT_STEP_S * asked
        if store_silent_s < turn_s + (0.0 if strong else WEAKER_WAIT_S):
            return False
        self.succeed()
        return True

    def succeed(self, ended: platform_port.Term | None = None) -> None:
        """Leads without an election, since the planner that leaves said so.

        Args:
            ended: The term that ends, or None if it is not known. This front
                may not have read of it yet; only a later one ends its acting.
        """
        self._succeeds = ended
        self._acting = True
        self._cut_off = False

    def note_others(
        self, *, heard_store_at: float, own_heard_at: float = float("inf")
    ) -> None:
        """Takes in when a connected front last heard the store.

        A planner that itself has not heard it since long before steps down; so
        does one that hears it, but whose term it does not confirm. Both stay
        down until their term is confirmed again.

        Args:
            heard_store_at: Monotonic time, s; the latest of all others.
            own_heard_at: Monotonic time at which this front heard it, s.
        """
        deaf = heard_store_at - own_heard_at > HEARD_FOR_S
        unconfirmed = heard_store_at - self._confirmed_at > CONFIRMED_FOR_S
        if (deaf and self.leads) or (unconfirmed and self._elected):
            self._cut_off = True
            self._elected = False
            self._acting = self._acting and not deaf

    def resign(self) -> None:
        """Leads no longer, until this front claims another term."""
        self._acting = False
        self._elected = False
        self._cut_off = False
        if self._term is not None:
            self._resigned = self._term.rank


def successors(
    fronts: Iterable[str], *, own: str, planner: str
) -> tuple[str, ...]:
    """Returns whom to ask for a snapshot while the store is away.

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A front that could plan.

    Attributes:
        address: `IP:PORT`.
        strong: Whether its host is strong enough for a planner.
        store_silent_s: Time since the store last answered it, s.
    """

    address: str
    strong: bool
    store_silent_s: float


def successor(candidates: Iterable[Candidate]) -> str:
    """Returns the front that plans after one that leaves, or empty.

    Those that reach the store come first, then those on strong hosts; one that
    has not heard it for a moment may be as cut off as the one that leaves.

    Args:
        candidates: Those that stay and can be reached.
    """
    by_address = {c.address: c for c in candidates}
    ranked = rendezvous.rank("planner", by_address)
    return min(
        ranked,
        key=lambda address: (
            by_address[address].store_silent_s > HEARD_FOR_S,
            not by_address[address].strong,
        ),
        default="",
    )


def claim_delay_s(
    fronts: Iterable[str], *, own: str, chance: float, strong: bool = True
) -> float:
    """Returns how long the planner must be missing before a front claims.

    Args:
        fronts: All fronts that were known last; empty after a start.
        own: The front that asks.
        chance: From 0 to 1, spreads fronts that know no others.
        strong: Whether its host is strong enough for a planner.
    """
    known = set(fronts)
    weaker_s = 0.0 if strong else WEAKER_WAIT_S
    if not known:
        return weaker_s + chance * CLAIM_STEP_S * MOST_CLAIM_STEPS / 2
    place = rendezvous.rank("planner", {*known, own}).index(own)
    return weaker_s + min(place, MOST_CLAIM_STEPS) * CLAIM_STEP_S


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
