"""The kinds of contract rules, registered by their keyword."""

from collections.abc import Callable, Mapping
import dataclasses
from typing import Protocol, TypeVar

_T = TypeVar("_T", bound=type)

ANY = "*"


class Rule(Protocol):
    """One checked rule of the contract."""

    @property
    def identity(self) -> str:
        """Kind and subject; an edit of the same identity replaces the rule."""


_KINDS: dict[str, type] = {}


def kind(keyword: str) -> Callable[[_T], _T]:
    """Registers a rule class under its keyword."""

    def register(cls: _T) -> _T:
        _KINDS[keyword] = cls
        cls.keyword = keyword
        return cls

    return register


def kinds() -> Mapping[str, type]:
    """Returns the rule classes by keyword."""
    return dict(_KINDS)


@kind("bound")
@dataclasses.dataclass(frozen=True, kw_only=True)
class BoundRule:
    """The bound on the slowest minute of a workspace, or of all.

    Attributes:
        workspace: Name, or `*` for every workspace without its own bound.
        first_token_p95_s: Bound on the 95th percentile of the first token, s.
        between_tokens_p95_s: The same between two tokens, s.
    """

    workspace: str = ANY
    first_token_p95_s: float
    between_tokens_p95_s: float

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"bound workspace={self.workspace}"


@kind("model")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelRule:
    """A model that callers may name.

    Attributes:
        name: Name of the model.
        layers: Number of layers.
        version: Version to serve; empty for any.
    """

    name: str
    layers: int
    version: str = ""

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"model name={self.name}"


@kind("place")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PlaceRule:
    """Where a range of layers runs, and how often.

    Attributes:
        model: Name of the model.
        first_layer: First layer of the range.
        last_layer: Last layer, inclusive.
        failure_domains: Allowed failure domains.
        replicas: Backend servers that shall hold the range.
        accelerators: Allowed accelerator kinds; empty for any.
    """

    model: str
    first_layer: int
    last_layer: int
    failure_domains: tuple[str, ...]
    replicas: int
    accelerators: tuple[str, ...] = ()

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return (
            f"place model={self.model} "
            f"layers={self.first_layer}-{self.last_layer}"
        )


@kind("workspace")
@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceRule:
    """A customer with its key, share and limits.

    Attributes:
        name: Name of the workspace.
        key_sha256: Lower-case hexadecimal SHA-256 of the bearer key.
        weight: Share under contention, relative to the others.
        rate_per_s: Requests per second allowed.
        concurrent: Requests in flight allowed, over the whole fleet's entries
            that this workspace reaches.
        priority: Lower numbers run first.
    """

    name: str
    key_sha256: str
    weight: float = 1.0
    rate_per_s: float = 10.0
    concurrent: int = 16
    priority: int = 5

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"workspace name={self.name}"


@kind("service")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceRule:
    """A plain service that callers may call.

    Attributes:
        name: Name in the path `/services/NAME/...`.
        to: Service name that agents report.
        repeat: "never" when a call must run at most once, "safe" otherwise.
    """

    name: str
    to: str
    repeat: str = "never"

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"service name={self.name}"


@kind("drain")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainRule:
    """A host whose backend servers shall get no new work.

    Attributes:
        host: IP number of the host.
    """

    host: str

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"drain host={self.host}"
