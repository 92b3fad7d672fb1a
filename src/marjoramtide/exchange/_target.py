"""The request target that may travel."""

import re

# A path in origin form (RFC 9112, section 3.2.1). A space, a control character or a fragment sign
# would end it early in the next hop's request line.
PATTERN = re.compile(r"/[!\"$-~]*")


def is_origin_form(target: str) -> bool:
    """Tell whether ``target`` is a path with an optional query, and nothing else."""
    return PATTERN.fullmatch(target) is not None
