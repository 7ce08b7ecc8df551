from dotterelgrade import errors


def test_every_kind_has_a_response():
    assert set(errors.RESPONSES) == set(errors.ErrorKind)


def test_only_calls_that_did_not_run_are_retryable():
    for response in errors.RESPONSES.values():
        assert response.run is errors.RunState.NOT_RUN or not response.retryable


def test_body_says_whether_the_call_ran():
    error = errors.Error(
        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
        message="the connection was lost",
        run=errors.RunState.RAN,
    )
    body = error.as_body(request_id="r1")["error"]
    assert body["run"] == "ran"
    assert body["request_id"] == "r1"
    assert body["kind"] == "outcome_unknown"
