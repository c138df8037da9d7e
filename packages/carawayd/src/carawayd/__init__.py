"""The carawayshore daemon that runs on every entry host."""
