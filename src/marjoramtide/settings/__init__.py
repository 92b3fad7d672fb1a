"""Settings: the node's own file, and the tree that all nodes share."""

from marjoramtide.settings._node_settings import (
    NodeSettings,
    load_node_settings,
    parse_address,
)
from marjoramtide.settings._route_settings import RouteSettings
from marjoramtide.settings._settings_view import SettingsView

__all__ = ["NodeSettings", "RouteSettings", "SettingsView", "load_node_settings", "parse_address"]
