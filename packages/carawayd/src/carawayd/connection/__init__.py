"""What lives as long as one connection or one peer."""
