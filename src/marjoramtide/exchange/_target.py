"""Validation of request targets."""

import re

# A path in origin form (RFC 9112, section 3.2.1). A space, a control character or "#" would end it
# early in the request line of the next hop.
ORIGIN_FORM = re.compile(r"/[!\"$-~]*")


def is_origin_form(target: str) -> bool:
    """Return whether ``target`` is a path with an optional query, and nothing else."""
    return ORIGIN_FORM.fullmatch(target) is not None
