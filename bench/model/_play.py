"""One play of a deployment under one set of settings."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

import structlog

from bench.model._deployment import Deployment
from bench.model._model_settings import settings_text
from bench.model._tally import Tally, tally
from bench.model._virtual_loop import VirtualLoop
from bench.model._world import World


def simulate_deployment(
    deployment: Deployment, seed: int, changes: Mapping[str, Any] | None
) -> Tally:
    """Play a day with these settings changed, or under the oracle; raises ``bad-settings``."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    text = "" if changes is None else settings_text(deployment, changes)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(played(deployment, seed, text))
    finally:
        loop.close()


async def played(deployment: Deployment, seed: int, text: str) -> Tally:
    world = World(deployment, seed, text)
    figures = tally(deployment, await world.play())
    totals = [node.metrics.all_counts() for node in world.nodes() if node]
    figures.hedges = sum(counts.get("ingress.hedges", 0) for counts in totals)
    figures.retries = sum(counts.get("ingress.retries", 0) for counts in totals)
    figures.runs = sum(seat.server.runs for seat in world.seats)
    figures.reasons |= world.counts
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return figures
