"""The interface to the quotas of workspaces."""

from abc import ABC, abstractmethod

from marjoramtide.exchange import Request


class QuotaLease(ABC):
    """A token of a workspace's quota that a request has taken."""

    @abstractmethod
    def refund(self) -> None:
        """Give the token back: the request did not run."""


class RequestQuota(ABC):
    """Admits the requests of a workspace at the rate that all nodes together keep to."""

    @abstractmethod
    async def admit(self, request: Request) -> QuotaLease | None:
        """Return the token that a request has taken, ``None`` where it needs none.

        Raises ``NotRunError``: ``workspace-limited`` where the quota is used up, with the time at
        which there may be a token, and ``quota-unknown`` where that can't be known.
        """


class NoQuota(RequestQuota):
    """For a node where no workspace is limited."""

    async def admit(self, request: Request) -> QuotaLease | None:
        return None
