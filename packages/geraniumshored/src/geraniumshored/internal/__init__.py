"""Working parts of the daemon."""
