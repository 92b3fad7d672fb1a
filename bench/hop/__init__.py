"""What a hop through the nodes adds to a call: ``python -m bench.hop``."""
