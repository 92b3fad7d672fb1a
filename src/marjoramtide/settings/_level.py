"""How specific a branch of the settings tree is."""

from enum import StrEnum


class Level(StrEnum):
    """What a branch describes."""

    ROOT = "root"
    REGION = "region"
    DATA_CENTRE = "data centre"
    SERVICE = "service"
    ROUTE = "route"
    WORKSPACE = "workspace"
