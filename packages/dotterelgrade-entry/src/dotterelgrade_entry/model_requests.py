"""Serves model requests from the limits to the charge."""

from collections.abc import Callable, Iterator
import contextlib
import time

from returns import result

from dotterelgrade import charges
from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_feed
from dotterelgrade import errors
from dotterelgrade import rules
from dotterelgrade_entry import entry_metrics
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import limits as limits_lib
from dotterelgrade_entry import openai_shape
from dotterelgrade_entry import pipeline as pipeline_lib
from dotterelgrade_entry import pipeline_tools
from dotterelgrade_entry import request as request_lib
from dotterelgrade_entry import tokenizer


class Answer:
    """The answer to one model request, as it comes.

    Iterating admits the request and yields batches of token texts. Closing
    ends it wherever it is.
    """

    def __init__(
        self,
        owner: "ModelRequests",
        *,
        order: request_lib.RequestOrder,
        model: rules.ModelRule,
        workspace: rules.WorkspaceRule,
    ) -> None:
        """Initializes an answer that was not begun.

        Args:
            owner: Serves the request.
            order: What the caller asked for.
            model: The contract's rule of the model.
            workspace: The workspace's rule.
        """
        self._owner = owner
        self._order = order
        self._model = model
        self._workspace = workspace
        self._request = request_lib.Request(order)
        self._sent_tokens = 0
        self._charged = False
        self._batches = self._run()

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<Answer to {self._request!r}>"

    def __iter__(self) -> Iterator[tuple[str, ...]]:
        """Yields batches of token texts, in order."""
        return self._batches

    @property
    def finish_reason(self) -> str:
        """Why the answer ended, in the words of the OpenAI interface."""
        return self._request.finish_reason

    @property
    def usage(self) -> openai_shape.Usage:
        """Token counts of what was yielded so far."""
        return openai_shape.Usage(
            prompt_tokens=len(self._order.prompt),
            completion_tokens=self._sent_tokens,
        )

    def close(self) -> None:
        """Ends the request at all agents; harmless when it is over."""
        self._batches.close()

    def charge(self) -> None:
        """Charges the workspace for what was yielded, once."""
        if self._charged or not self._sent_tokens:
            return
        self._charged = True
        self._owner.charge(
            charges.Charge(
                workspace=self._order.workspace,
                request_id=self._order.request_id,
                prompt_tokens=len(self._order.prompt),
                generated_tokens=self._sent_tokens,
            )
        )

    def _run(self) -> Iterator[tuple[str, ...]]:
        with (
            self._owner.limits.holding(self._workspace),
            self._owner.started(self._request, self._model) as pipeline,
        ):
            for batch in pipeline.tokens():
                texts = _texts(batch)
                if texts:
                    self._sent_tokens += len(texts)
                    yield texts


def _texts(batch: tuple[int, ...]) -> tuple[str, ...]:
    return tuple(
        tokenizer.decode(token)
        for token in batch
        if token != tokenizer.END_TOKEN
    )


class ModelRequests:
    """Checks model requests against the contract and starts pipelines."""

    def __init__(
        self,
        tools: pipeline_tools.Tools,
        *,
        feed: contract_feed.ContractFeed,
        limits: limits_lib.Limits,
        sender: charges.ChargeSender,
        metrics: entry_metrics.EntryMetrics,
        is_ready: Callable[[], bool],
    ) -> None:
        """Initializes the service.

        Args:
            tools: What pipelines share.
            feed: The contract in force.
            limits: Limits of the workspaces.
            sender: Takes charges.
            metrics: The metrics of the entry.
            is_ready: Whether the entry has what it needs to begin.
        """
        self._is_ready = is_ready
        self._tools = tools
        self._feed = feed
        self._limits = limits
        self._sender = sender
        self._metrics = metrics
        self._leaving = False

    @property
    def tools(self) -> pipeline_tools.Tools:
        """What pipelines share."""
        return self._tools

    @property
    def settings(self) -> entry_settings.EntrySettings:
        """The settings of the entry."""
        return self._tools.settings

    @property
    def contract(self) -> contract_lib.Contract:
        """The contract in force."""
        return self._feed.contract

    @property
    def limits(self) -> limits_lib.Limits:
        """Limits of the workspaces."""
        return self._limits

    def leave(self) -> None:
        """Refuses new requests from now on."""
        self._leaving = True

    def check_ready(self) -> None:
        """Raises LEAVING or NOT_READY unless new requests are taken."""
        if self._leaving:
            raise errors.DotterelgradeError(
                errors.Error(
                    kind=errors.ErrorKind.LEAVING,
                    message="this entry is leaving",
                    retry_after_s=1.0,
                )
            )
        if not self._is_ready():
            raise errors.DotterelgradeError(
                errors.Error(
                    kind=errors.ErrorKind.NOT_READY,
                    message="this entry has not caught up with the fleet",
                    retry_after_s=1.0,
                )
            )

    def note_refusal(self, request_id: str, error: errors.Error) -> None:
        """Records a request that got an error as its answer."""
        self._metrics.note_refusal(error.kind)
        self._tools.journal.record(
            "request_failed",
            reason=error.message,
            request_id=request_id,
            kind=error.kind.value,
            run=error.run_state.value,
        )

    def charge(self, charge: charges.Charge) -> None:
        """Charges a workspace."""
        self._sender.charge(charge)

    def answer(
        self,
        call: openai_shape.ModelCall,
        *,
        workspace: rules.WorkspaceRule,
        request_id: str,
    ) -> Answer:
        """Returns the answer to a checked call, not yet begun.

        Args:
            call: The checked request body.
            workspace: The workspace's rule.
            request_id: Identifier of the request.

        Returns:
            The answer, to be iterated and closed.

        Raises:
            errors.DotterelgradeError: UNKNOWN_MODEL.
        """
        model = self.contract.model(call.model)
        if model is None:
            raise errors.new_exception(
                errors.ErrorKind.UNKNOWN_MODEL, f"no model {call.model!r}"
            )
        first_token_s, between_tokens_s = self._bound(workspace.name)
        order = request_lib.RequestOrder(
            request_id=request_id,
            workspace=workspace.name,
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            priority=workspace.priority,
            weight=workspace.weight,
            first_token_s=first_token_s,
            between_tokens_s=between_tokens_s,
        )
        return Answer(self, order=order, model=model, workspace=workspace)

    def _bound(self, workspace: str) -> tuple[float, float]:
        bound = self.contract.bound_for(workspace)
        if bound is None:
            return self.settings.first_token_s, self.settings.between_tokens_s
        return bound.first_token_p95_s, bound.between_tokens_p95_s

    @contextlib.contextmanager
    def started(
        self, request: request_lib.Request, model: rules.ModelRule
    ) -> Iterator[pipeline_lib.Pipeline]:
        """Runs a pipeline while the context is open.

        Args:
            request: The request.
            model: The contract's rule of the model.

        Yields:
            The admitted pipeline.

        Raises:
            errors.DotterelgradeError: Why it was not admitted.
        """
        pipeline = pipeline_lib.Pipeline(
            request,
            model=model,
            tools=self._tools,
            watch=self._metrics.watch(request, self._tools.admission),
        )
        try:
            started = pipeline.start()
            if isinstance(started, result.Failure):
                raise errors.DotterelgradeError(started.failure())
            yield pipeline
        finally:
            pipeline.close()
            self._metrics.note_end(
                request, duration_s=time.monotonic() - request.arrived_at
            )
