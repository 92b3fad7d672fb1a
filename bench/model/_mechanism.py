"""A mechanism of the product that can be left out, to see what it is worth."""

from importlib import import_module
from pathlib import Path

import attrs


@attrs.frozen(slots=True)
class Mechanism:
    """A mechanism, and what takes its place where it is left out.

    ``target`` is a name in ``module``, and ``value`` the expression that is given to it. The
    product itself has no switch for each of them: what is not meant to be switched off by an
    operator is no setting.
    """

    name: str
    module: str
    target: str
    value: str

    def leave_out(self) -> None:
        """Leave it out in this process; raises ``AttributeError`` where there is no such target.

        Without that a mechanism whose code was renamed would pass for worth nothing.
        """
        owner = import_module(self.module)
        *path, last = self.target.split(".")
        for name in path:
            owner = getattr(owner, name)
        getattr(owner, last)
        setattr(owner, last, eval(self.value))

    def leave_out_of(self, checkout: Path) -> Path:
        """Leave it out of a scratch copy's sources; return the file that was changed."""
        path = checkout / "src" / (self.module.replace(".", "/") + ".py")
        path.write_text(f"{path.read_text()}\n\n{self.target} = {self.value}\n")
        return path
