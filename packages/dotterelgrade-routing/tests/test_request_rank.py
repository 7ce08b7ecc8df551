"""Ranks guard against a workspace's priority that hides the routes'."""

from dotterelgrade_routing import configuration


def _route(priority, *services, public=False):
    return configuration.Route(
        name=f"r{priority}",
        host="h",
        path_prefix="/",
        services=tuple(
            configuration.ServiceWeight(service=name, weight=weight)
            for name, weight in services or [("model", 1)]
        ),
        idempotent=True,
        streaming=True,
        resumable=True,
        timeout_s=9,
        objective_s=1,
        longest_pause_s=1,
        priority=priority,
        max_attempts=2,
        public=public,
    )


def _configuration(*routes, workspaces=()):
    return configuration.Configuration(
        version=1,
        routes=routes,
        services=(),
        limits=configuration.ClientLimits(),
        workspaces=workspaces,
    )


def _workspaces(*priorities):
    return tuple(
        configuration.Workspace(name=f"w{p}", api_keys=(), priority=p)
        for p in priorities
    )


def test_the_route_decides_among_workspaces_of_one_priority():
    routes = [_route(priority) for priority in (5, 0, 9)]
    workspaces = _workspaces(1, 0)
    current = _configuration(*routes, workspaces=workspaces)
    ranks = [
        [current.rank("model", route=r, workspace=w) for r in routes]
        for w in workspaces
    ]
    assert ranks == [[4, 3, 5], [1, 0, 2]]


def test_routes_of_one_priority_have_no_ranks():
    """Workspaces alone do not make ranks: the header stays as it was."""
    route, other = _route(1), _route(2, ("other", 1))
    workspaces = _workspaces(0, 3)
    current = _configuration(route, other, workspaces=workspaces)
    assert not current.has_ranks("model")
    assert current.rank("model", route=route, workspace=workspaces[0]) is None
    assert current.rank("gone", route=route, workspace=None) is None


def test_ranks_count_for_each_service_of_a_route():
    shared = _route(3, ("model", 2), ("batch", 1), ("unused", 0))
    urgent = _route(1, ("model", 1), ("unused", 1))
    current = _configuration(shared, urgent, _route(7, ("batch", 1)))
    assert current.rank("model", route=shared, workspace=None) == 1
    assert current.rank("batch", route=shared, workspace=None) == 0
    assert not current.has_ranks("unused")


def test_requests_without_a_workspace_count_on_public_routes():
    public, keyed = _route(0, public=True), _route(2)
    (workspace,) = workspaces = _workspaces(1)
    current = _configuration(public, keyed, workspaces=workspaces)
    assert current.rank("model", route=public, workspace=None) == 0
    assert current.rank("model", route=public, workspace=workspace) == 1
    assert current.rank("model", route=keyed, workspace=workspace) == 2


def test_the_last_rank_is_shared():
    routes = [_route(priority) for priority in range(14)]
    current = _configuration(*routes)
    ranks = [current.rank("model", route=r, workspace=None) for r in routes]
    assert ranks == [*range(10), 9, 9, 9, 9]
