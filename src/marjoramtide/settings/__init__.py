"""Settings: the node's own file, and the tree that all nodes share.

Distribution between the store and the nodes is in ``marjoramtide.settings.sync``.
"""

from marjoramtide.settings._branch import Branch, parse_branch
from marjoramtide.settings._edit import Edit, EditAction, parse_edits
from marjoramtide.settings._editing import apply_edits, compare_trees, conflicting_branches
from marjoramtide.settings._envelope import Envelope, RecentChange, decode_envelope
from marjoramtide.settings._freshness import Freshness
from marjoramtide.settings._level import Level
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._node_settings import (
    DEFAULT_MEMORY_MB,
    NodeSettings,
    check_address,
    load_node_settings,
    parse_address,
)
from marjoramtide.settings._resolved_values import ResolvedValues
from marjoramtide.settings._route_settings import RouteSettings
from marjoramtide.settings._schema import DEFAULTS, SCHEMA
from marjoramtide.settings._settings_view import SettingsView
from marjoramtide.settings._tree import SettingsTree, parse_tree
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.settings._workspace_settings import WorkspaceSettings
from marjoramtide.settings._workspaces import (
    Workspaces,
    key_digest,
    key_fingerprint,
    make_workspaces,
)

__all__ = [
    "DEFAULTS",
    "DEFAULT_MEMORY_MB",
    "SCHEMA",
    "Branch",
    "Edit",
    "EditAction",
    "Envelope",
    "Freshness",
    "Level",
    "Locality",
    "NodeSettings",
    "RecentChange",
    "ResolvedValues",
    "RouteSettings",
    "SettingsTree",
    "SettingsView",
    "TreeSettingsView",
    "WorkspaceSettings",
    "Workspaces",
    "apply_edits",
    "check_address",
    "compare_trees",
    "conflicting_branches",
    "decode_envelope",
    "key_digest",
    "key_fingerprint",
    "load_node_settings",
    "make_workspaces",
    "parse_address",
    "parse_branch",
    "parse_edits",
    "parse_tree",
]
