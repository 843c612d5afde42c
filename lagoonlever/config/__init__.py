"""Typed options and the settings file of one VM."""
