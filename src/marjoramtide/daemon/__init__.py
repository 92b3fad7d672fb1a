"""The node as a process."""
