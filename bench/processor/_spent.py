"""Processor time, of the code and of the kernel for it."""

import attrs


@attrs.frozen(slots=True)
class Spent:
    """Milliseconds of processor time outside the kernel and in it."""

    user_ms: float
    system_ms: float

    def __sub__(self, other: "Spent") -> "Spent":
        return Spent(self.user_ms - other.user_ms, self.system_ms - other.system_ms)

    def __mul__(self, factor: float) -> "Spent":
        return Spent(self.user_ms * factor, self.system_ms * factor)

    def __truediv__(self, count: float) -> "Spent":
        return self * (1 / count)

    def __str__(self) -> str:
        return f"{self.user_ms:9.2f} ms, in the kernel {self.system_ms:7.2f} ms"
