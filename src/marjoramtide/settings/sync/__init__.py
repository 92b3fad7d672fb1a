"""Distribution of settings: conditional writes to the store, and propagation to the nodes."""

from marjoramtide.settings.sync._change_outcome import ChangeOutcome
from marjoramtide.settings.sync._change_request import ChangeRequest
from marjoramtide.settings.sync._own_tree_source import TREE_KEY, OwnTreeSource
from marjoramtide.settings.sync._piggybacked_state import PiggybackedState
from marjoramtide.settings.sync._progress import Progress, ProgressCallback
from marjoramtide.settings.sync._service import SettingsService, make_settings_service
from marjoramtide.settings.sync._tree_source import TreeSource
from marjoramtide.settings.sync._tree_store import HISTORY_PREFIX
from marjoramtide.settings.sync._watchers import choose_watchers

__all__ = [
    "HISTORY_PREFIX",
    "TREE_KEY",
    "ChangeOutcome",
    "ChangeRequest",
    "OwnTreeSource",
    "PiggybackedState",
    "Progress",
    "ProgressCallback",
    "SettingsService",
    "TreeSource",
    "choose_watchers",
    "make_settings_service",
]
