"""Versions of settings and of the operators' configuration, and switches of mechanisms."""
