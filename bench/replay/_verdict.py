"""Whether a stated outcome was met."""

import attrs


@attrs.frozen(slots=True)
class Verdict:
    """``met`` is ``None`` where the run could not tell."""

    name: str
    met: bool | None
    text: str

    def __str__(self) -> str:
        word = {True: "met", False: "MISSED", None: "not checked"}[self.met]
        return f"{word:11} {self.name}: {self.text}"
