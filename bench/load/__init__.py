"""The load tool: sends planned calls in an open loop and checks every response.

For example, ``results = await play(calls, {"mapdesk": ["127.0.0.1:8080"]})`` and then
``audit(results, await backends.reports())`` finds requests that ran twice or were falsely
reported as "not run".
"""

from bench.load._attempt import Attempt
from bench.load._audit import Audit, audit
from bench.load._backends import Backends
from bench.load._caller import Caller
from bench.load._open_loop import OpenLoop, play
from bench.load._outcome import Outcome
from bench.load._planned_call import PlannedCall
from bench.load._result import CallResult
from bench.load._stand_in_report import StandInReport, stand_in_report
from bench.load._tally import Tally, tally
from bench.load._workers import play_in_workers

__all__ = [
    "Attempt",
    "Audit",
    "Backends",
    "CallResult",
    "Caller",
    "OpenLoop",
    "Outcome",
    "PlannedCall",
    "StandInReport",
    "Tally",
    "audit",
    "play",
    "play_in_workers",
    "stand_in_report",
    "tally",
]
