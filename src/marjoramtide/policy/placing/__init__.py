"""Which node should be asked to serve a request?

Made for servers whose pace changes within tenths of a second, and of which every report is out of
date when it is read. A wrong choice costs a refusal and a second try.
"""

from marjoramtide.policy.placing._bulletin_readers import bulletin_recipients
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
