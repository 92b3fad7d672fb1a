"""Conversion of the operator's tenants to workspaces of the settings tree."""

from typing import Any

from marjoramtide.settings import key_digest

HIGHEST_PRIORITY = 0
MAX_KEY_CHARACTERS = 4096


def workspace_tables(configuration: dict[str, Any]) -> dict[str, Any]:
    """Return the tables of authentication, empty if the configuration has no tenants.

    Raises ``ValueError`` for an invalid key; the message does not contain the key.
    """
    tenants = configuration.get("Tenants")
    if tenants is None:
        return {}
    return {
        "authentication": "key",
        "workspaces": {tenant["Name"]: workspace_branch(tenant) for tenant in tenants},
    }


def authentication_exemption(route: dict[str, Any]) -> dict[str, Any]:
    """Return the setting of a route whose callers need no key."""
    return {"authentication": "none"} if route.get("AuthExempt") else {}


def workspace_branch(tenant: dict[str, Any]) -> dict[str, Any]:
    branch: dict[str, Any] = {
        "key_digests": [
            checked_key_digest(key) for key in dict.fromkeys(tenant.get("ApiKeys") or ())
        ],
        "requests_per_s": tenant.get("RatePerS") or 0.0,
        "request_burst": tenant.get("Burst") or 0.0,
    }
    priority = tenant.get("Priority")
    if priority is not None:
        branch["workspace_rank"] = priority
        branch["workspace_priority"] = "urgent" if priority == HIGHEST_PRIORITY else "routine"
    return branch


def checked_key_digest(key: Any) -> str:
    """Return the digest of a key from the operator's configuration."""
    if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise ValueError(f"key is not a text of 1 to {MAX_KEY_CHARACTERS} characters")
    return key_digest(key)
