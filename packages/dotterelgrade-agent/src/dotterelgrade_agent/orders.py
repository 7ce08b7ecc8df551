"""Orders to one engine, under fencing numbers that never go back."""

import time

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade_agent import engine_backend
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import weight_store_client

_POLL_S = 0.05
_STORE_RETRY_S = 0.5


class Orders:
    """Gives orders to an engine, also to one that checks no numbers.

    The agent is the only one that gives orders to its engine, so a number
    lower than one it has given is stale whatever the engine says.
    """

    def __init__(
        self,
        backend: engine_backend.EngineBackend,
        *,
        host: str,
        store: weight_store_client.WeightStoreClient,
        journal: journal_lib.Journal,
    ) -> None:
        """Initializes without having given an order.

        Args:
            backend: The engine.
            host: IP number of this host, for the weight store.
            store: The weight store.
            journal: Takes decisions.
        """
        self._backend = backend
        self._host = host
        self._store = store
        self._journal = journal
        self._fence = 0

    @property
    def fence(self) -> int:
        """The highest fencing number used or seen at the engine."""
        status = self._backend.watch.status
        seen = 0 if status is None else status.fence
        return max(self._fence, seen)

    def give(
        self, order: engine_client.Order
    ) -> result.Result[None, errors.Error]:
        """Gives one order.

        Args:
            order: The order.

        Returns:
            Success, ENGINE_REFUSED for a stale fencing number, or
            ENGINE_FAILED.
        """
        if order.fence < self.fence:
            return _refused(
                f"fencing number {order.fence} is lower than {self.fence}"
            )
        self._fence = order.fence
        answer = self._backend.client.order(order)
        self._backend.watch.look()
        self._journal.record(
            "order_given",
            reason="done" if _is_success(answer) else str(answer),
            order=order.order,
            model=order.model,
            layers=f"{order.first_layer}-{order.last_layer}",
            fence=order.fence,
        )
        return answer.map(lambda _: None)

    def load(
        self, order: engine_client.Order, *, timeout_s: float
    ) -> result.Result[None, errors.Error]:
        """Loads a range of layers at the weight store's rate.

        Args:
            order: The order to load.
            timeout_s: Longest wait for the store and for the load, s.

        Returns:
            Success once the engine holds the range, or why it does not.
        """
        give_up_at = time.monotonic() + timeout_s
        reserved = self._reserve(order, give_up_at)
        if isinstance(reserved, result.Failure):
            return reserved
        given = self.give(order)
        if isinstance(given, result.Failure):
            return given
        return self._wait_until_held(order, give_up_at)

    def _reserve(
        self, order: engine_client.Order, give_up_at: float
    ) -> result.Result[None, errors.Error]:
        while True:
            answer = self._store.reserve(order, host=self._host)
            if isinstance(answer, result.Success):
                gevent.sleep(answer.unwrap())
                return result.Success(None)
            wait_s = answer.failure().retry_after_s or _STORE_RETRY_S
            if time.monotonic() + wait_s > give_up_at:
                return answer
            gevent.sleep(wait_s)

    def _wait_until_held(
        self, order: engine_client.Order, give_up_at: float
    ) -> result.Result[None, errors.Error]:
        while time.monotonic() < give_up_at:
            if self._holds(order):
                return result.Success(None)
            gevent.sleep(_POLL_S)
        return result.Failure(
            errors.Error(
                kind=errors.ErrorKind.ENGINE_FAILED,
                message="the engine did not finish the load in time",
            )
        )

    def _holds(self, order: engine_client.Order) -> bool:
        watch = self._backend.watch
        return watch.is_usable and watch.status.holds(
            model=order.model,
            version=order.version,
            first_layer=order.first_layer,
            last_layer=order.last_layer,
        )


def _is_success(answer: result.Result[object, object]) -> bool:
    return isinstance(answer, result.Success)


def _refused(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.ENGINE_REFUSED, message=message)
    )
