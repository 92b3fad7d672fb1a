"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides anything, and nothing outside of this package knows a name of the platform's
wire. Each module translates between one part of that wire and types of the product.
"""

from marjoramtide.platform._interface import platform_interface

__all__ = ["platform_interface"]
