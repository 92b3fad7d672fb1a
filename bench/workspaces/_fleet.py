"""A fleet of real nodes whose callers send keys."""

from typing import Any

from bench.limits._fleet import LimitFleet
from bench.workspaces._plan import Quota

LARGE, SMALL, REVOKED = "large", "small", "gone"
KEYS = {LARGE: "key-of-large", SMALL: "key-of-small", REVOKED: "key-of-gone"}
SMALL_QUOTA = Quota(2.0, 2.0)
REVOKED_AFTER_S = 5.0


class WorkspaceFleet(LimitFleet):
    """A fleet with three workspaces; ``quota`` is the quota of the large one."""

    bounds = (*LimitFleet.bounds, "StrictRevoke=true", f"RevokeMs={REVOKED_AFTER_S * 1000:.0f}")
    quota = Quota(10.0, 10.0)
    revoked = False

    def specification(self) -> dict[str, Any]:
        revoked_workspace_keys = [] if self.revoked else [KEYS[REVOKED]]
        tenants = [
            tenant(LARGE, [KEYS[LARGE]], self.quota),
            tenant(SMALL, [KEYS[SMALL]], SMALL_QUOTA),
            tenant(REVOKED, revoked_workspace_keys, Quota(0.0, 0.0)),
        ]
        return super().specification() | {"Tenants": tenants}

    def change(self) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        self.configure()


def tenant(name: str, keys: list[str], quota: Quota) -> dict[str, Any]:
    return {"Name": name, "ApiKeys": keys, "RatePerS": quota.per_s, "Burst": quota.burst}
