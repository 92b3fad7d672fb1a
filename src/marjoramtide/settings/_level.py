"""Levels of the settings tree."""

from enum import StrEnum


class Level(StrEnum):
    """The kind of a branch."""

    ROOT = "root"
    REGION = "region"
    DATA_CENTRE = "data centre"
    SERVICE = "service"
    ROUTE = "route"
    WORKSPACE = "workspace"
