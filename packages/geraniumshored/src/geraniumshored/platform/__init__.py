"""The users' platform: its names, formats and calls. Nothing here decides."""

from geraniumshored.platform.adapter import HttpPlatform
from geraniumshored.platform.job_api import ConsumerFront
from geraniumshored.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)

__all__ = [
    "ConsumerFront",
    "HttpPlatform",
    "PlatformSettings",
    "load_platform_settings",
    "settings_path",
]
