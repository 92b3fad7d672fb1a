"""The node process: startup, shutdown, reloading and background tasks."""
