"""Decisions of many nodes in virtual time: what nodes run, in a world that is played.

The dispatchers, admissions, limits, budgets, measurers and bulletins are those of the product.
Played are callers, links, backend servers, their neighbours, and who knows whom. Nothing is
started, and a second of traffic takes as long as its decisions do.
"""
