from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from dotterelgrade import messages
from dotterelgrade_entry import request
from dotterelgrade_entry import tokenizer

PROMPT = (7, 8, 9)
MAX_TOKENS = 6


def _token(attempt, position, token):
    return messages.Token(
        request_id="r1", attempt=attempt, position=position, token=token
    )


class RequestMachine(stateful.RuleBasedStateMachine):
    """Tokens come late, twice, crossed and from old attempts."""

    def __init__(self):
        super().__init__()
        self.request = request.Request(
            request.RequestOrder(
                request_id="r1",
                workspace="bench",
                model="inlay",
                prompt=PROMPT,
                max_tokens=MAX_TOKENS,
            )
        )
        self.attempt = 0
        self.answer = []

    @property
    def is_over(self):
        return tokenizer.END_TOKEN in self.answer or (
            len(self.answer) == MAX_TOKENS
        )

    @stateful.rule()
    def begin_attempt(self):
        self.attempt += 1
        assert self.request.begin_attempt() == self.attempt

    @stateful.precondition(lambda self: self.attempt > 0)
    @stateful.rule(token=st.sampled_from([tokenizer.END_TOKEN, 5, 31_999]))
    def next_token_arrives(self, token):
        position = len(PROMPT) + len(self.answer)
        accepted = self.request.accept(_token(self.attempt, position, token))
        assert accepted is not self.is_over
        if accepted:
            self.answer.append(token)

    @stateful.rule(
        back=st.integers(1, 3), offset=st.integers(-3, 3), token=st.just(666)
    )
    def token_of_another_attempt_arrives(self, back, offset, token):
        position = len(PROMPT) + len(self.answer) + offset
        for attempt in (self.attempt - back, self.attempt + back):
            assert not self.request.accept(_token(attempt, position, token))

    @stateful.rule(offset=st.sampled_from([-4, -1, 1, 5]), token=st.just(666))
    def token_of_another_position_arrives(self, offset, token):
        position = len(PROMPT) + len(self.answer) + offset
        assert not self.request.accept(_token(self.attempt, position, token))

    @stateful.invariant()
    def answer_is_what_was_accepted(self):
        assert list(self.request.emitted) == self.answer
        assert self.request.is_finished is self.is_over

    @stateful.invariant()
    def steps_cover_every_position_once(self):
        before = self.request.rebuild_steps()
        current = self.request.current_step()
        inputs = [value for step in before for value in step.inputs]
        assert current.position == len(inputs)
        inputs += current.inputs
        assert inputs == [*PROMPT, *self.answer]
        whole = self.request.whole_step()
        assert (whole.position, list(whole.inputs)) == (0, inputs)
        assert {step.attempt for step in (*before, current, whole)} == {
            self.attempt
        }


TestRequest = RequestMachine.TestCase
TestRequest.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
