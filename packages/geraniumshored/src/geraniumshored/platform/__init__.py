"""HTTP clients, document formats and settings of the users' platform.

This package translates between the platform's wire formats and the project's types.
It makes no scheduling decisions.
"""

from geraniumshored.platform.adapter import HttpPlatform
from geraniumshored.platform.job_api import JobApiServer
from geraniumshored.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)

__all__ = [
    "JobApiServer",
    "HttpPlatform",
    "PlatformSettings",
    "load_platform_settings",
    "settings_path",
]
