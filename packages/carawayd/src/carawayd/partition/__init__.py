"""What lives as long as this process owns one partition of the workflows."""
