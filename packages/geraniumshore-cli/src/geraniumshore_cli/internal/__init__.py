"""Working parts of the command line."""
