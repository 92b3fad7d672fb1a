"""Applies revisions of the settings tree on one node."""

import attrs
import structlog

from marjoramtide.errors import MarjoramtideError
from marjoramtide.membership import Directory
from marjoramtide.settings._envelope import Envelope
from marjoramtide.settings._tree import parse_tree
from marjoramtide.settings._tree_view import TreeSettingsView

log = structlog.get_logger()


@attrs.define(slots=True, eq=False, repr=False)
class RevisionApplier:
    """The only component that puts a revision into force."""

    view: TreeSettingsView
    directory: Directory

    def apply(self, envelope: Envelope, source: str) -> bool:
        """Apply a revision if it is newer; return whether this node is then at least that far.

        Revisions reach a node over several channels at once, and some are old: a stale read of the
        store, a peer that was frozen, a watch event that was queued in a socket. Applying one would
        undo an accepted change. The revision number in the envelope orders them independently of
        the channel, so "newer only" is sufficient. A tree that was created from scratch counts from
        1 again; its different lineage keeps it from being compared with this one.
        """
        current = self.view.envelope
        if current and envelope.lineage != current.lineage:
            log.error(
                "settings.lineage",
                source=source,
                current=current.lineage,
                found=envelope.lineage,
                revision=envelope.revision,
            )
            return False
        if current and envelope.revision <= current.revision:
            return True
        try:
            tree = parse_tree(envelope.text, [self.view.locality])
        except MarjoramtideError as error:
            # Requests must not be served by settings that are no longer in force. The node reports
            # the unreadable revision and stops taking callers' requests until it can read a
            # revision.
            self.view.freshness.unreadable_revision = envelope.revision
            log.error(
                "settings.unreadable",
                source=source,
                revision=envelope.revision,
                error=str(error),
            )
            return False
        self.view.install(envelope, tree)
        self.view.freshness.unreadable_revision = 0
        self.directory.set_settings(envelope.revision, envelope.digest)
        log.info(
            "settings.in_force",
            source=source,
            revision=envelope.revision,
            digest=envelope.digest,
            change=envelope.change,
            author=envelope.author,
        )
        return True
