"""The interface to workspaces' request quotas."""

from abc import ABC, abstractmethod

from marjoramtide.exchange import Request


class QuotaLease(ABC):
    """A token that a request has taken from its workspace's quota."""

    @abstractmethod
    def refund(self) -> None:
        """Return the token to the quota, since the request did not run."""


class RequestQuota(ABC):
    """Admits the requests of a workspace at a rate that all nodes enforce together."""

    @abstractmethod
    async def admit(self, request: Request) -> QuotaLease | None:
        """Take a token for a request and return it, or ``None`` if the request needs none.

        Raises ``NotRunError``: ``workspace-limited`` if the quota is used up, with the delay until
        a token may be available, and ``quota-unknown`` if that can't be determined.
        """


class NoQuota(RequestQuota):
    """Quota of a node without limited workspaces."""

    async def admit(self, request: Request) -> QuotaLease | None:
        return None
