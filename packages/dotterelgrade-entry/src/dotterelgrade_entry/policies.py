"""The registry of routing policies and the baselines among them."""

from collections.abc import Callable, Sequence
import itertools
import random
from typing import TypeVar

from dotterelgrade import registry
from dotterelgrade_entry import cost_model
from dotterelgrade_entry import fleet as fleet_lib

_T = TypeVar("_T", bound=type)


class Policy:
    """Ranks the candidates for one layer range.

    Attributes:
        name: Name in the settings.
        predicts: Whether whole chains are compared by predicted cost and
            refused when the prediction is outside the bound.
    """

    name = ""
    predicts = False

    def pick(
        self, candidates: Sequence[fleet_lib.Candidate]
    ) -> fleet_lib.Candidate:
        """Returns the candidate to use.

        Args:
            candidates: At least one candidate.

        Returns:
            One of them.
        """
        raise NotImplementedError


POLICIES = registry.Registry[Policy]("policy")


def policy(name: str) -> Callable[[_T], _T]:
    """Registers a policy class under its name in the settings."""

    def register(cls: _T) -> _T:
        cls.name = name
        return POLICIES.register(name)(cls)

    return register


@policy("random")
class RandomPolicy(Policy):
    """Picks any candidate."""

    def pick(
        self, candidates: Sequence[fleet_lib.Candidate]
    ) -> fleet_lib.Candidate:
        """Returns a random candidate."""
        return random.choice(candidates)


@policy("round_robin")
class RoundRobinPolicy(Policy):
    """Takes the candidates in turn."""

    def __init__(self) -> None:
        """Starts the turn."""
        self._turn = itertools.count()

    def pick(
        self, candidates: Sequence[fleet_lib.Candidate]
    ) -> fleet_lib.Candidate:
        """Returns the next candidate."""
        ordered = sorted(candidates, key=lambda c: c[1].key)
        return ordered[next(self._turn) % len(ordered)]


@policy("least_in_flight")
class LeastInFlightPolicy(Policy):
    """Picks the candidate with the fewest sequences."""

    def pick(
        self, candidates: Sequence[fleet_lib.Candidate]
    ) -> fleet_lib.Candidate:
        """Returns the candidate with the fewest sequences, ties at random."""
        return min(candidates, key=lambda c: (c[1].sequences, random.random()))


@policy("predicted")
class PredictedPolicy(Policy):
    """Compares whole chains by the latency predicted for the request."""

    predicts = True

    def pick(
        self, candidates: Sequence[fleet_lib.Candidate]
    ) -> fleet_lib.Candidate:
        """Returns the candidate with the shortest predicted step."""
        return min(candidates, key=lambda c: cost_model.token_s(c[1]))
