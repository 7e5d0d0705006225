"""Reads what this process may use of its machine."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Self

__all__ = ["MachineLimits"]

BYTES_PER_MB = 1_000_000
CGROUP_ROOT = Path("/sys/fs/cgroup")
CGROUP_OF_PROCESS = Path("/proc/self/cgroup")


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Memory and descriptors that this process may use."""

    memory_bytes: int
    descriptors: int

    @classmethod
    def from_settings(cls, memory_mb: float | None, max_fds: int | None) -> Self:
        """Return the lowest of the settings, the process's limits and the machine."""
        memory = list(_memory_limits())
        if memory_mb is not None:
            memory.append(int(memory_mb * BYTES_PER_MB))
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = soft if max_fds is None else min(soft, max_fds)
        return cls(min(memory), descriptors)


def _memory_limits() -> Iterator[int]:
    yield os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    soft, _ = resource.getrlimit(resource.RLIMIT_AS)
    if soft != resource.RLIM_INFINITY:
        yield soft
    for path in _cgroup_files():
        try:
            text = path.read_text().strip()
        except OSError:
            continue
        # An unlimited group has "max".
        if text.isdigit():
            yield int(text)


def _cgroup_files() -> Iterator[Path]:
    try:
        lines = CGROUP_OF_PROCESS.read_text().splitlines()
    except OSError:
        return
    for line in lines:
        _, controllers, group = line.split(":", 2)
        if not controllers:
            yield CGROUP_ROOT / group.lstrip("/") / "memory.max"
        elif "memory" in controllers.split(","):
            folder = CGROUP_ROOT / "memory" / group.lstrip("/")
            yield folder / "memory.limit_in_bytes"
