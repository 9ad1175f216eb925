"""What the kernel says of a process."""

import os
import pathlib


def cpu_s(pid: int) -> float:
    """Return the processor time a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid: int) -> int:
    """Return a process's resident memory in KB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


__all__ = ["cpu_s", "resident_kb"]
