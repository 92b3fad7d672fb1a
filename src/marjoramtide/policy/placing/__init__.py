"""Selection of the node that serves a request.

The selectors are built for backend servers whose speed changes within tenths of a second, so that
every load report is out of date by the time it is read. A wrong choice costs a rejection and a
retry.
"""

from marjoramtide.policy.placing._bulletin_recipients import bulletin_recipients
from marjoramtide.policy.placing._bulletin_routes import BulletinRoutes
from marjoramtide.policy.placing._factories import SELECTORS, make_selector
from marjoramtide.policy.placing._selector import Selector
from marjoramtide.policy.placing._smooth_split import SmoothSplit, make_smooth_split

__all__ = [
    "SELECTORS",
    "BulletinRoutes",
    "Selector",
    "SmoothSplit",
    "bulletin_recipients",
    "make_selector",
    "make_smooth_split",
]
