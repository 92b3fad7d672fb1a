"""The simulated membership directory of a node."""

from collections.abc import Callable

import attrs

from marjoramtide.membership import Directory, Member, MemberState


class ModelDirectory(Directory):
    """The members that one node knows; the simulation delivers changes to it after a delay."""

    def __init__(self, own: Member, on_failure: Callable[[str], None]) -> None:
        self.own = own
        self.on_failure = on_failure
        self.known: dict[str, Member] = {own.node: own}
        self.by_service: dict[str, list[Member]] = {}
        self.listeners: list[Callable[[Member], None]] = []

    @property
    def self_member(self) -> Member:
        return self.own

    def members(self) -> list[Member]:
        return list(self.known.values())

    def members_of(self, service: str) -> list[Member]:
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = [
                member
                for member in self.known.values()
                if member.service == service and member.state.accepts_requests()
            ]
        return found

    def find(self, node: str) -> Member | None:
        return self.known.get(node)

    def set_state(self, state: MemberState) -> None:
        self.own = attrs.evolve(self.own, state=state, incarnation=self.own.incarnation + 1)
        self.apply_update(self.own)

    def set_settings(self, revision: int, digest: str) -> None:
        return None

    def report_failure(self, node: str) -> None:
        self.on_failure(node)

    def on_change(self, listener: Callable[[Member], None]) -> None:
        self.listeners.append(listener)

    def apply_update(self, member: Member) -> None:
        """Store a member's new state, unless a newer incarnation is known already."""
        current = self.known.get(member.node)
        if current is not None and member.incarnation < current.incarnation:
            return
        if member.state is MemberState.DEAD:
            self.known.pop(member.node, None)
        else:
            self.known[member.node] = member
        self.by_service.clear()
        for listener in self.listeners:
            listener(member)
