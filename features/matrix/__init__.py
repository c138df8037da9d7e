"""Fault matrices of requests and of the fleet: tables of steps and faults, and their runners."""
