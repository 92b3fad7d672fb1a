"""The adapter to the users' platform: its names, formats and calls.

Nothing here makes decisions, and no other package knows a name of the platform's protocols. Each
module translates between one part of these protocols and the project's own types.
"""

from marjoramtide.platform._interface import platform_interface

__all__ = ["platform_interface"]
