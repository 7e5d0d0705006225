"""The entry-host daemon; its public surface is the settings and the way to run it."""

from geraniumshored.internal.daemon import Daemon
from geraniumshored.internal.settings import Settings, load_settings

__all__ = ["Daemon", "Settings", "load_settings"]
