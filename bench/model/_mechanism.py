"""A mechanism of the product that can be disabled to measure its effect."""

from importlib import import_module
from pathlib import Path

import attrs


@attrs.frozen(slots=True)
class Mechanism:
    """A mechanism, and the replacement that disables it.

    ``target`` is a name in ``module``, and ``value`` the expression that is assigned to it. The
    product has no switches for mechanisms, since operators aren't meant to switch them off.
    """

    name: str
    module: str
    target: str
    value: str

    def disable(self) -> None:
        """Disable it in this process; raises ``AttributeError`` if the target doesn't exist.

        Without that check a mechanism whose code was renamed would appear to have no effect.
        """
        owner = import_module(self.module)
        *path, last = self.target.split(".")
        for name in path:
            owner = getattr(owner, name)
        getattr(owner, last)
        setattr(owner, last, eval(self.value))

    def disable_in_checkout(self, checkout: Path) -> Path:
        """Disable it in the sources of a scratch copy; return the changed file."""
        path = checkout / "src" / (self.module.replace(".", "/") + ".py")
        path.write_text(f"{path.read_text()}\n\n{self.target} = {self.value}\n")
        return path
