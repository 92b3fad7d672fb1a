"""Where a node stands."""

import attrs


@attrs.frozen(slots=True)
class Locality:
    """A region and a data centre; both empty for a place that the tree doesn't name."""

    region: str = ""
    data_centre: str = ""
