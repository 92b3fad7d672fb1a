"""Replays traces against node and stand-in processes and checks the expected outcomes."""
