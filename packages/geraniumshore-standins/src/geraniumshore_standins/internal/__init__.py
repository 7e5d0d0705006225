"""Implementation of the stand-ins."""
