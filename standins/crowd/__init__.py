"""Clients outside the limits: crowds that send what no ordinary client sends, and read nothing.

For example::

    crowd = Crowd("127.0.0.1:7101", attack, clients=300)
    await crowd.send(seconds=4)
    crowd.close()
"""

from standins.crowd._attack import Attack, Target, make_attack
from standins.crowd._crowd import Crowd
from standins.crowd._process_gauge import ProcessGauge, read_process_gauge

__all__ = [
    "Attack",
    "Crowd",
    "ProcessGauge",
    "Target",
    "make_attack",
    "read_process_gauge",
]
