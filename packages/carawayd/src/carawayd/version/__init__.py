"""Objects with the lifetime of one configuration version."""
