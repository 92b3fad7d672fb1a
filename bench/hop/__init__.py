"""What a hop through the nodes adds to a call: ``python -m bench.hop``."""

from bench.hop._process_use import ProcessUse, read_use

__all__ = ["ProcessUse", "read_use"]
