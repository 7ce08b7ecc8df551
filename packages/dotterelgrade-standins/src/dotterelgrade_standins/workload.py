"""What callers ask for: a seeded, open-loop stream of requests."""

from collections.abc import Iterator
import dataclasses
import random


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceLoad:
    """The part of the load that one workspace sends.

    Attributes:
        name: Name of the workspace.
        share: Its part of all requests, relative to the others.
        model: The model it asks.
    """

    name: str
    share: float
    model: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkloadSettings:
    """The shape of the load.

    Attributes:
        workspaces: Who sends what part of it.
        prompt_words: Least and most words of a prompt's own part.
        shared_words: Words of the part that a workspace's prompts share.
        answer_tokens: Least and most tokens to generate.
        templates: Shared parts that each workspace uses.
    """

    workspaces: tuple[WorkspaceLoad, ...]
    prompt_words: tuple[int, int] = (4, 48)
    shared_words: int = 32
    answer_tokens: tuple[int, int] = (8, 40)
    templates: int = 3

    def scaled(self, workspace: str, factor: float) -> "WorkloadSettings":
        """Returns the load with one workspace's share multiplied."""
        loads = tuple(
            dataclasses.replace(load, share=load.share * factor)
            if load.name == workspace
            else load
            for load in self.workspaces
        )
        return dataclasses.replace(self, workspaces=loads)

    @property
    def total_share(self) -> float:
        """Sum of the shares."""
        return sum(load.share for load in self.workspaces)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One request of the stream.

    Attributes:
        name: Unique name.
        at_s: When it is due, s from the start of the stream.
        workspace: Who sends it.
        model: The model asked.
        prompt: Text of the prompt.
        max_tokens: Tokens to generate.
    """

    name: str
    at_s: float
    workspace: str
    model: str
    prompt: str
    max_tokens: int


def requests(
    settings: WorkloadSettings,
    *,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> Iterator[Request]:
    """Yields a stream of requests with random (Poisson) arrivals.

    Args:
        settings: The shape of the load.
        rate_per_s: Requests per second.
        duration_s: Length of the stream, s.
        seed: Seed; the same one gives the same stream.

    Yields:
        The requests in the order of their times.
    """
    source = random.Random(seed)
    shares = [load.share for load in settings.workspaces]
    at_s, number = 0.0, 0
    while True:
        at_s += source.expovariate(rate_per_s)
        if at_s >= duration_s:
            return
        load = source.choices(settings.workspaces, shares)[0]
        number += 1
        yield Request(
            name=f"{seed}-{number}",
            at_s=at_s,
            workspace=load.name,
            model=load.model,
            prompt=_prompt(settings, load.name, f"{seed}-{number}", source),
            max_tokens=_skewed(source, settings.answer_tokens),
        )


def _prompt(
    settings: WorkloadSettings,
    workspace: str,
    name: str,
    source: random.Random,
) -> str:
    template = source.randrange(settings.templates)
    shared = [
        f"{workspace}-{template}-{word}"
        for word in range(settings.shared_words)
    ]
    own = _skewed(source, settings.prompt_words)
    return " ".join([*shared, *(f"{name}-{word}" for word in range(own))])


def _skewed(source: random.Random, span: tuple[int, int]) -> int:
    """Returns a whole number of the span; small ones are more frequent."""
    least, most = span
    return least + round((most - least) * source.random() ** 2)
