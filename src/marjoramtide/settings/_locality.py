"""The location of a node."""

import attrs


@attrs.frozen(slots=True)
class Locality:
    """A region and a data centre; both are empty for a location that the tree doesn't name."""

    region: str = ""
    data_centre: str = ""
