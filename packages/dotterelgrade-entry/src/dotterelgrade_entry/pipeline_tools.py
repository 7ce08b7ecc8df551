"""What the pipelines of an entry share."""

import dataclasses

from dotterelgrade import journal as journal_lib
from dotterelgrade_entry import admission as admission_lib
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import exchange as exchange_lib
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_routing import retry_budget


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tools:
    """What pipelines share.

    Attributes:
        settings: The settings of the entry.
        fleet: The agents that are known.
        planner: Chooses chains.
        admission: Compares predictions with the bound.
        exchange: Delivers the agents' frames.
        budget: Limits retries.
        journal: Where decisions are recorded.
    """

    settings: entry_settings.EntrySettings
    fleet: fleet_lib.Fleet
    planner: planner_lib.Planner
    admission: admission_lib.Admission
    exchange: exchange_lib.Exchange
    budget: retry_budget.RetryBudget
    journal: journal_lib.Journal
