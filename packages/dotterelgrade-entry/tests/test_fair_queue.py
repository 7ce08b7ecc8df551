import collections

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dotterelgrade_entry import fair_queue

WEIGHTS = {"bench": 4.0, "studio": 2.0, "school": 1.0}


def _queue():
    return fair_queue.FairQueue(clock=lambda: 0.0)


def _join(queue, workspace, *, deadline=1.0, cost=10.0):
    return queue.join(
        workspace, weight=WEIGHTS[workspace], cost=cost, deadline=deadline
    )


def _serve(queue):
    waiter = queue.head()
    queue.leave(waiter, served=True)
    return waiter


def test_work_is_shared_by_weight_while_all_wait():
    queue = _queue()
    for workspace in WEIGHTS:
        for _ in range(70):
            _join(queue, workspace)
    served = collections.Counter(_serve(queue).workspace for _ in range(70))
    assert served == {"bench": 40, "studio": 20, "school": 10}


def test_dear_requests_count_by_their_cost():
    queue = _queue()
    for _ in range(20):
        _join(queue, "studio", cost=40.0)
        _join(queue, "school", cost=10.0)
    served = collections.Counter(_serve(queue).workspace for _ in range(15))
    # Twice the weight at four times the cost: half as many.
    assert served == {"studio": 5, "school": 10}


def test_within_a_workspace_the_earliest_deadline_is_first():
    queue = _queue()
    for deadline in (3.0, 1.0, 2.0):
        _join(queue, "bench", deadline=deadline)
    assert [_serve(queue).deadline for _ in range(3)] == [1.0, 2.0, 3.0]


def test_a_workspace_that_was_idle_saves_up_nothing():
    queue = _queue()
    for _ in range(10):
        queue.pass_by("bench", weight=4.0, cost=10.0)
    for _ in range(10):
        _join(queue, "bench")
        _join(queue, "school")
    served = [_serve(queue).workspace for _ in range(5)]
    assert served.count("school") <= 2


def test_only_the_head_is_woken_and_then_the_next():
    queue = _queue()
    first = _join(queue, "bench", deadline=1.0)
    second = _join(queue, "bench", deadline=2.0)
    queue.wake()
    assert (first.turn.is_set(), second.turn.is_set()) == (True, False)
    queue.leave(first, served=False)
    assert second.turn.is_set()


def test_the_expected_wait_is_what_the_backlog_has_shown():
    now = [0.0]
    queue = fair_queue.FairQueue(clock=lambda: now[0])
    for _ in range(40):
        _join(queue, "school")
        _join(queue, "bench")
    # Nothing is known yet, so nobody is told to go.
    assert queue.expected_wait_s("school", weight=1.0) == 0.0
    for _ in range(20):
        now[0] += 0.1
        _serve(queue)
    own = queue.expected_wait_s("school", weight=1.0)
    assert 3.0 < own < 9.0
    assert queue.expected_wait_s("bench", weight=4.0) < own
    while queue.head() is not None:
        queue.leave(queue.head(), served=False)
    assert queue.expected_wait_s("school", weight=1.0) == 0.0


class QueueMachine(stateful.RuleBasedStateMachine):
    """Whoever waits is either served in its turn or leaves, nothing else."""

    def __init__(self):
        super().__init__()
        self.queue = _queue()
        self.waiting = []

    @stateful.rule(
        workspace=st.sampled_from(sorted(WEIGHTS)),
        deadline=st.integers(0, 9),
        cost=st.integers(1, 99),
    )
    def join(self, workspace, deadline, cost):
        waiter = _join(self.queue, workspace, deadline=deadline, cost=cost)
        self.waiting.append(waiter)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule()
    def serve_the_head(self):
        head = self.queue.head()
        own = [w for w in self.waiting if w.workspace == head.workspace]
        assert min(own) is head
        self.queue.leave(head, served=True)
        self.waiting.remove(head)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(number=st.integers(0, 10_000))
    def give_up(self, number):
        waiter = self.waiting.pop(number % len(self.waiting))
        self.queue.leave(waiter, served=False)

    @stateful.rule(workspace=st.sampled_from(sorted(WEIGHTS)))
    def pass_by(self, workspace):
        self.queue.pass_by(workspace, weight=WEIGHTS[workspace], cost=5)

    @stateful.invariant()
    def counts_agree(self):
        assert len(self.queue) == len(self.waiting)
        assert sum(self.queue.dump().values()) == len(self.waiting)
        assert (self.queue.head() is None) == (not self.waiting)


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(
    derandomize=True, max_examples=50, stateful_step_count=30, deadline=None
)
