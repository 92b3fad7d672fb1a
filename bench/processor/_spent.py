"""CPU time in user mode and in the kernel."""

import attrs


@attrs.frozen(slots=True)
class CpuTime:
    """Milliseconds of CPU time in user mode and in the kernel."""

    user_ms: float
    system_ms: float

    def __sub__(self, other: "CpuTime") -> "CpuTime":
        return CpuTime(self.user_ms - other.user_ms, self.system_ms - other.system_ms)

    def __mul__(self, factor: float) -> "CpuTime":
        return CpuTime(self.user_ms * factor, self.system_ms * factor)

    def __truediv__(self, count: float) -> "CpuTime":
        return self * (1 / count)

    def __str__(self) -> str:
        return f"{self.user_ms:9.2f} ms, in the kernel {self.system_ms:7.2f} ms"
