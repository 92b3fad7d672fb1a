"""Plays traces against real node and stand-in processes and checks the stated outcomes."""
