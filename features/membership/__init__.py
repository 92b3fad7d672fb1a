"""Scenarios of membership, and the network in memory that they run on."""
