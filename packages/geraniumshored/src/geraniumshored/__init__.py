"""Daemons of the system: the settings of a daemon, and the class that runs one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from geraniumshored.internal.daemon import Daemon
    from geraniumshored.internal.settings import Settings, load_settings

__all__ = ["Daemon", "Settings", "load_settings"]


def __getattr__(name: str) -> Any:
    """Import the daemon on first use: ``entry`` starts often and does not use it."""
    if name == "Daemon":
        from geraniumshored.internal.daemon import Daemon

        return Daemon
    if name in ("Settings", "load_settings"):
        from geraniumshored.internal import settings

        return getattr(settings, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
