"""Verdicts on expected outcomes."""

import attrs


@attrs.frozen(slots=True)
class Verdict:
    """The result of a check; ``met`` is ``None`` if it could not be checked."""

    name: str
    met: bool | None
    text: str

    def __str__(self) -> str:
        word = {True: "met", False: "MISSED", None: "not checked"}[self.met]
        return f"{word:11} {self.name}: {self.text}"
