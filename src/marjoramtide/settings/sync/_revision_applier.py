"""Puts revisions into force on one node."""

import attrs
import structlog

from marjoramtide.errors import MarjoramtideError
from marjoramtide.membership import Directory
from marjoramtide.settings._envelope import Envelope
from marjoramtide.settings._tree import parse_tree
from marjoramtide.settings._tree_view import TreeSettingsView

log = structlog.get_logger()


@attrs.define(slots=True, eq=False, repr=False)
class Adopter:
    """The only way by which a revision comes into force."""

    view: TreeSettingsView
    directory: Directory

    def adopt(self, envelope: Envelope, source: str) -> bool:
        """Put a revision into force if it is higher; return whether this node is level with it.

        Revisions reach a node on several ways at once, and some are old: a stale read of the store,
        a peer that was frozen, a watch event that waited in a socket. Applying one would take back
        an accepted change. The revision in the envelope orders them, whatever way they come, so
        that "higher only" is enough; the lineage keeps a tree that was begun anew, whose revisions
        count from 1 again, from being compared with this one at all.
        """
        mine = self.view.envelope
        if mine and envelope.lineage != mine.lineage:
            log.error(
                "settings.lineage",
                source=source,
                mine=mine.lineage,
                found=envelope.lineage,
                revision=envelope.revision,
            )
            return False
        if mine and envelope.revision <= mine.revision:
            return True
        try:
            tree = parse_tree(envelope.text, [self.view.place])
        except MarjoramtideError as error:
            # Serving on by the older revision would be serving by settings that are no longer in
            # force. The node says so and stops taking callers' requests until it can read one.
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
