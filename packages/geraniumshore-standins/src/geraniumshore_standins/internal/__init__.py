"""Working parts of the stand-ins."""
