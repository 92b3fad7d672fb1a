"""What is done to a fleet, and when the store changes."""

from enum import Enum

import attrs

from standins.platform import StoreFault

# Share of the datagrams between nodes that are lost.
DATAGRAM_LOSS = 0.01


class Fact(Enum):
    """The kinds of facts that a fleet keeps of the store."""

    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"
    KEY = "revoked key"  # a node that can't know which keys are revoked accepts none
    EPOCH = "epoch"  # the store is restored from a copy


class Scope(Enum):
    """The nodes that a fault is for."""

    THIRD = "third"  # who checks first, then who watches, then any
    READERS = "readers"  # all that check or watch
    ALL = "all"


@attrs.frozen(slots=True)
class OutagePlan:
    """A fleet, a fault of its store and a change there.

    ``change_at_s`` counts from the start of the fault, which lasts ``for_s``. With ``again`` the
    nodes that check and watch at its end have it for as long again. With ``loses_watches`` the
    connections of all watches of these nodes go silent at the start, and new ones work.
    ``configuration_s`` is how long the configuration takes to arrive. ``has_checks`` is false for a
    fleet without checks of the store.
    """

    size: int
    scope: Scope
    fault: StoreFault | None = None
    for_s: float = 0.0
    change_at_s: float = 0.0
    fact: Fact = Fact.CONFIGURATION
    again: bool = False
    loses_watches: bool = False
    has_checks: bool = True
    configuration_s: float = 0.0
    loss: float = DATAGRAM_LOSS
    seed: int = 1
