"""Objects with the lifetime of one connection or one peer."""
