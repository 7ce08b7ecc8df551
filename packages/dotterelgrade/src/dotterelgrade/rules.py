"""The kinds of contract rules, registered by keyword."""

from collections.abc import Callable, Mapping
import dataclasses
from typing import Any, Protocol, TypeVar

from dotterelgrade import rule_values

_T = TypeVar("_T", bound=type)

ANY = rule_values.ANY
REPEAT_NEVER = "never"
REPEAT_SAFE = "safe"
MAX_PRIORITY = 9
_KEY_METADATA = "key"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Key:
    """One `name=value` of a rule.

    Attributes:
        name: The name in the contract.
        reader: Reads the value.
        fields: Fields of the rule class that the value sets; for several
            fields, the reader returns a tuple.
        required: Whether a rule without the key is invalid.
    """

    name: str
    reader: rule_values.Reader
    fields: tuple[str, ...]
    required: bool


def key(
    reader: rule_values.Reader,
    *,
    name: str = "",
    fields: tuple[str, ...] = (),
    default: Any = dataclasses.MISSING,
) -> Any:
    """Returns a data class field that is set by a contract key.

    Args:
        reader: Reads the value.
        name: The name in the contract; the field's own when empty.
        fields: All fields set by the key; only this one when empty.
        default: Value of the field when the key is omitted.
    """
    return dataclasses.field(
        default=default, metadata={_KEY_METADATA: (reader, name, fields)}
    )


def keys(cls: type) -> tuple[Key, ...]:
    """Returns the keys of a rule class in the order of its fields."""
    return tuple(
        Key(
            name=field.metadata[_KEY_METADATA][1] or field.name,
            reader=field.metadata[_KEY_METADATA][0],
            fields=field.metadata[_KEY_METADATA][2] or (field.name,),
            required=field.default is dataclasses.MISSING,
        )
        for field in dataclasses.fields(cls)
        if _KEY_METADATA in field.metadata
    )


class Rule(Protocol):
    """A validated rule of the contract."""

    keyword: str

    @property
    def identity(self) -> str:
        """Kind and subject; a later line of the same identity replaces it."""


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
class LatencyBoundRule:
    """Latency bounds for the slowest minute of one or all workspaces.

    Attributes:
        workspace: Name, or `*` for every workspace without its own bound.
        first_token_p95_s: Bound on the 95th percentile of the time
            to the first token, s.
        between_tokens_p95_s: Bound on the 95th percentile of the time
            between two tokens, s.
    """

    workspace: str = key(rule_values.name_or_any)
    first_token_p95_s: float = key(rule_values.duration, name="first_token_p95")
    between_tokens_p95_s: float = key(
        rule_values.duration, name="between_tokens_p95"
    )

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"bound workspace={self.workspace}"


@kind("model")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelRule:
    """A model that callers may request.

    Attributes:
        name: Name of the model.
        layers: Number of layers.
        version: Version to serve; empty for any.
    """

    name: str = key(rule_values.name)
    layers: int = key(rule_values.whole_number(1, rule_values.MAX_LAYERS))
    version: str = key(rule_values.name, default="")

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"model name={self.name}"


@kind("place")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementRule:
    """Where a range of layers runs, and on how many backend servers.

    Attributes:
        model: Name of the model.
        first_layer: First layer of the range.
        last_layer: Last layer, inclusive.
        failure_domains: Allowed failure domains.
        replicas: Number of backend servers that hold the range.
        accelerators: Allowed accelerator kinds; empty for any.
    """

    model: str = key(rule_values.name)
    first_layer: int = key(
        rule_values.layer_range,
        name="layers",
        fields=("first_layer", "last_layer"),
    )
    last_layer: int
    failure_domains: tuple[str, ...] = key(
        rule_values.names, name="failure_domain"
    )
    replicas: int = key(rule_values.whole_number(1, rule_values.MAX_REPLICAS))
    accelerators: tuple[str, ...] = key(
        rule_values.names, name="accelerator", default=()
    )

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
    """A customer with its bearer key, share and limits.

    Attributes:
        name: Name of the workspace.
        key_sha256: Lower-case hexadecimal SHA-256 of the bearer key.
        weight: Share under contention, relative to the others.
        rate_per_s: Requests per second allowed.
        concurrent: Requests in flight allowed, in total over the entries that
            this workspace uses.
        priority: Lower numbers run first.
    """

    name: str = key(rule_values.name)
    key_sha256: str = key(rule_values.digest, name="key")
    weight: float = key(rule_values.decimal, default=1.0)
    rate_per_s: float = key(rule_values.rate, name="rate", default=10.0)
    concurrent: int = key(
        rule_values.whole_number(1, rule_values.MAX_NUMBER), default=16
    )
    priority: int = key(rule_values.whole_number(0, MAX_PRIORITY), default=5)

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

    name: str = key(rule_values.name)
    to: str = key(rule_values.name)
    repeat: str = key(
        rule_values.one_of(REPEAT_NEVER, REPEAT_SAFE), default=REPEAT_NEVER
    )

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"service name={self.name}"


@kind("drain")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainRule:
    """A host whose backend servers get no new work.

    Attributes:
        host: IP address of the host.
    """

    host: str = key(rule_values.ip_number)

    @property
    def identity(self) -> str:
        """Kind and subject."""
        return f"drain host={self.host}"
