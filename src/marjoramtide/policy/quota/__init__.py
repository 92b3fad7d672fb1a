"""Which requests of a workspace may be admitted, where all nodes together keep one rate limit?

Made for a workspace that sends six times its usual, by whichever nodes its callers come, beside
seventy that send a few requests a second.
"""

from marjoramtide.policy.quota._demand_rate import DemandRate
from marjoramtide.policy.quota._expiring_tokens import ExpiringTokens
from marjoramtide.policy.quota._fleet_shares import FleetShares
from marjoramtide.policy.quota._quota_account import LEASE_S, QuotaAccount
from marjoramtide.policy.quota._quota_pool import QuotaPool, make_quota_pool

__all__ = [
    "LEASE_S",
    "DemandRate",
    "ExpiringTokens",
    "FleetShares",
    "QuotaAccount",
    "QuotaPool",
    "make_quota_pool",
]
