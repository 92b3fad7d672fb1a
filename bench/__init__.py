"""Load and replay: traces played against real node and stand-in processes."""
