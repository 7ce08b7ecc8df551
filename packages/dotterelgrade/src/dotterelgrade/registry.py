"""Classes that settings choose by their names."""

from collections.abc import Callable
from typing import Generic, TypeVar

_T = TypeVar("_T")
_C = TypeVar("_C", bound=type)


class Registry(Generic[_T]):
    """Interchangeable classes, registered by a decorator."""

    def __init__(self, kind: str) -> None:
        """Initializes a registry without classes.

        Args:
            kind: What the classes are, for error messages.
        """
        self._kind = kind
        self._classes: dict[str, Callable[[], _T]] = {}

    def __repr__(self) -> str:
        """Shows the kind and the names."""
        return f"<Registry {self._kind}: {', '.join(self.names())}>"

    def register(self, name: str) -> Callable[[_C], _C]:
        """Returns a decorator that registers a class.

        Args:
            name: Its name in the settings.
        """

        def register(cls: _C) -> _C:
            self._classes[name] = cls
            return cls

        return register

    def names(self) -> list[str]:
        """Returns the names of the registered classes."""
        return sorted(self._classes)

    def make(self, name: str) -> _T:
        """Returns a new instance of a registered class.

        Args:
            name: Its name.

        Raises:
            ValueError: No class has that name.
        """
        if name not in self._classes:
            expected = ", ".join(self.names())
            raise ValueError(
                f"{self._kind}: expected one of {expected}, got {name!r}"
            )
        return self._classes[name]()
