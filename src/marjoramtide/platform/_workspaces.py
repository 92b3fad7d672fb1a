"""The operator's tenants as workspaces of the settings tree."""

from typing import Any

from marjoramtide.settings import key_digest

HIGHEST_PRIORITY = 0
LONGEST_KEY = 4096


def workspace_tables(configuration: dict[str, Any]) -> dict[str, Any]:
    """Return the tables that tell who may call, none where the configuration has no tenants.

    Raises ``ValueError`` for a key that can't be one, without naming it.
    """
    tenants = configuration.get("Tenants")
    if tenants is None:
        return {}
    return {
        "authentication": "key",
        "workspaces": {tenant["Name"]: workspace_branch(tenant) for tenant in tenants},
    }


def exemption(route: dict[str, Any]) -> dict[str, Any]:
    """Return what a route sets where its callers need no key."""
    return {"authentication": "none"} if route.get("AuthExempt") else {}


def workspace_branch(tenant: dict[str, Any]) -> dict[str, Any]:
    branch: dict[str, Any] = {
        "key_digests": [digest(key) for key in dict.fromkeys(tenant.get("ApiKeys") or ())],
        "requests_per_s": tenant.get("RatePerS") or 0.0,
        "request_burst": tenant.get("Burst") or 0.0,
    }
    priority = tenant.get("Priority")
    if priority is not None:
        branch["workspace_rank"] = priority
        branch["workspace_priority"] = "urgent" if priority == HIGHEST_PRIORITY else "routine"
    return branch


def digest(key: Any) -> str:
    """Return the digest of an operator's key."""
    if not isinstance(key, str) or not 0 < len(key) <= LONGEST_KEY:
        raise ValueError(f"a key that is empty, no text, or over {LONGEST_KEY} characters")
    return key_digest(key)
