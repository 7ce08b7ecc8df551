"""Part of a failure domain's demand that is served sooner elsewhere.

Load pattern: the demand of one failure domain exceeds what its servers can
take while others have room. Demand is moved in small units, each to the domain
where it then is expected to be served soonest, as long as the home domain
would take longer by the required gain.
"""

from collections.abc import Mapping, Sequence

from dotterelgrade_routing import domain_load

# Units into which the demand of the home domain is divided.
_UNITS = 50


def excess(
    home: domain_load.DomainLoad | None,
    others: Sequence[domain_load.DomainLoad],
    *,
    demand: float,
    gain: float,
) -> Mapping[str, float]:
    """Returns the share of the demand that should go to each other domain.

    With a higher gain, no domain gets more than with a lower one.

    Args:
        home: The home domain as if all its demand stayed, or None if it has no
            servers, so that everything leaves.
        others: Domains that may be used, without requests from this one.
        demand: Demand of the home domain, in the unit of the capacities.
        gain: Required ratio of the expected time at home to that elsewhere.
    """
    unit = demand / _UNITS
    moved = {other.failure_domain: 0 for other in others}

    def expected_s(other: domain_load.DomainLoad) -> float:
        units = moved[other.failure_domain] + 1
        return other.expected_with(other.used + unit * units)

    for units in range(_UNITS if others else 0):
        best = min(others, key=lambda o: (expected_s(o), o.failure_domain))
        if home is not None and (
            home.expected_with(home.used - unit * units)
            <= gain * expected_s(best)
        ):
            break
        moved[best.failure_domain] += 1
    return {domain: units / _UNITS for domain, units in moved.items() if units}


def limited(
    current: Mapping[str, float], wanted: Mapping[str, float], *, step: float
) -> dict[str, float]:
    """Returns shares moved towards the wanted ones by at most one step.

    Args:
        current: Shares by failure domain.
        wanted: Shares to approach.
        step: Largest sum of all rises, and of all falls.
    """
    domains = sorted({*current, *wanted})
    changes = [wanted.get(d, 0.0) - current.get(d, 0.0) for d in domains]
    rise = sum(change for change in changes if change > 0)
    fall = -sum(change for change in changes if change < 0)
    scale = min(1.0, step / max(rise, fall, step))
    moved = {
        domain: current.get(domain, 0.0) + scale * change
        for domain, change in zip(domains, changes, strict=True)
    }
    return {domain: share for domain, share in moved.items() if share > 1e-9}
