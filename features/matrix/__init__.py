"""Fault matrix of requests: one table of steps and faults, and the parts that run its cells."""
