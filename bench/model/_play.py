"""Simulation of one deployment under one set of settings."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

import structlog

from bench.model._deployment import Deployment
from bench.model._model_settings import settings_text
from bench.model._tally import SimulationResult, summarise
from bench.model._virtual_loop import VirtualLoop
from bench.model._world import FleetSimulation


def simulate_deployment(
    deployment: Deployment, seed: int, changes: Mapping[str, Any] | None
) -> SimulationResult:
    """Simulate a deployment with ``changes`` to its settings.

    Without ``changes`` the oracle places the requests. Raises ``bad-settings``.
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    tree_text = "" if changes is None else settings_text(deployment, changes)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(run_simulation(deployment, seed, tree_text))
    finally:
        loop.close()


async def run_simulation(deployment: Deployment, seed: int, tree_text: str) -> SimulationResult:
    simulation = FleetSimulation(deployment, seed, tree_text)
    result = summarise(deployment, await simulation.run())
    node_counts = [node.metrics.all_counts() for node in simulation.running_nodes() if node]
    result.hedges = sum(counts.get("ingress.hedges", 0) for counts in node_counts)
    result.retries = sum(counts.get("ingress.retries", 0) for counts in node_counts)
    result.runs = sum(host.server.runs for host in simulation.hosts)
    result.reasons |= simulation.failure_counts
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return result
