"""By which nodes news of a backend server's speed reaches those that follow it."""

import random
from collections import defaultdict
from collections.abc import Sequence

import attrs

from marjoramtide.membership import Member
from marjoramtide.policy.placing._bulletin_readers import bulletin_recipients

# So many readers in another data centre are told one by one: the loss of a relay costs more than
# these datagrams.
MOST_DIRECT = 4


@attrs.frozen(slots=True)
class BulletinRoute:
    """To whom one piece of news goes: to ``recipients``, and to ``relays`` that pass it on."""

    recipients: list[Member]
    relays: list[Member]


@attrs.define(slots=True, eq=False, repr=False)
class BulletinRoutes:
    """Has news cross to another data centre once, to one of its readers there, which passes it on.

    Failure without it: where no data centre has enough nodes of a service, each change is told to
    dozens of nodes elsewhere. Among 70 nodes in three data centres that were two thirds of all that
    these sent each other.

    The relay is drawn anew each time, so one that has ended without a word loses some news only.
    Who reads whom is worked out once for as long as the members stay the same: ``members`` is the
    directory's own list, which a change replaces.
    """

    rng: random.Random
    members: Sequence[Member] = ()
    readers: dict[str, dict[str, list[Member]]] = attrs.Factory(dict)

    def route(self, own: Member, members: Sequence[Member]) -> BulletinRoute:
        """Return the way of news of the own backend server."""
        route = BulletinRoute([], [])
        for centre, readers in self._readers(own, members).items():
            if centre == own.data_centre or len(readers) <= MOST_DIRECT:
                route.recipients.extend(readers)
            else:
                route.relays.append(self.rng.choice(readers))
        return route

    def relay_recipients(
        self, teller: Member, own: Member, members: Sequence[Member]
    ) -> list[Member]:
        """Return to whom ``own`` passes news of ``teller`` on."""
        readers = self._readers(teller, members).get(own.data_centre, [])
        return [reader for reader in readers if reader.node != own.node]

    def _readers(self, teller: Member, members: Sequence[Member]) -> dict[str, list[Member]]:
        """Return the readers of a teller by data centre."""
        if members is not self.members:
            self.members = members
            self.readers.clear()
        found = self.readers.get(teller.node)
        if found is None:
            found = self.readers[teller.node] = defaultdict(list)
            for reader in bulletin_recipients(teller, members):
                found[reader.data_centre].append(reader)
        return found
