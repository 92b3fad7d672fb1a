"""Where a node's processor time goes: ``python -m bench.processor``."""
