"""Reading a deployment from a TOML file."""

import tomllib
from pathlib import Path

import cattrs

from bench.model._deployment import Deployment
from bench.model._structuring import validation_messages


def load_deployment(path: Path) -> Deployment:
    """Read a deployment; raises ``ValueError`` with the file, the key and the allowed values.

    Keys are the attributes of ``Deployment`` and of its parts. For example::

        name = "two"
        data_centres = 1
        rate_per_s = 20.0
        [[services]]
        name = "shop"
        servers = [2]
        [[kinds]]
        name = "lookup"
        split = { shop = 1 }
        work_ms = 50.0
        goal_ms = 200.0
        deadline_ms = 800.0
        rate = 1.0
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        deployment = cattrs.Converter(forbid_extra_keys=True).structure(raw, Deployment)
    except (tomllib.TOMLDecodeError, cattrs.BaseValidationError) as error:
        raise ValueError(f"{path}: {validation_messages(error)}") from error
    errors = list(reference_errors(deployment))
    if errors:
        raise ValueError(f"{path}: {'; '.join(errors)}")
    return deployment


def reference_errors(deployment: Deployment):  # type: ignore[no-untyped-def]
    """Yield references to services or kinds that don't exist, and services of the wrong size."""
    services = {service.name for service in deployment.services}
    kinds = {kind.name for kind in deployment.kinds}
    for kind in deployment.kinds:
        for name in kind.split.keys() - services:
            yield f"kind {kind.name!r}: split names {name!r}; allowed: {', '.join(services)}"
        for call in kind.calls:
            if call.kind not in kinds:
                yield f"kind {kind.name!r}: calls {call.kind!r}; allowed: {', '.join(kinds)}"
    for fault in deployment.faults:
        if fault.service not in {"", *services}:
            yield f"fault {fault.kind!r}: service {fault.service!r}; allowed: {', '.join(services)}"
    for service in deployment.services:
        if len(service.servers) != deployment.data_centres:
            yield (
                f"service {service.name!r}: servers has {len(service.servers)} entries; "
                f"allowed: one for each of {deployment.data_centres} data centres"
            )
