"""Stand-ins of the platform, its minions and its callers, for the cases below review/.

They follow PROTOCOL.md and need nothing but Python's standard library.
"""
