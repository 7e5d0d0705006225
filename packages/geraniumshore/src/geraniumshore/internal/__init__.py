"""Working parts; import them through the package itself."""
