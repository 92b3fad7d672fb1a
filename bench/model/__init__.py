"""Discrete-event simulation of a fleet that runs the decision code of the product.

Dispatchers, admission, limits, budgets, health checks and bulletins are those of the product.
Callers, network links, backend servers, their noisy neighbours and the membership are simulated.
No process is started, and time is virtual: simulating a second of traffic takes only as long as
its decisions take to compute.
"""
