"""The list of targets, their reported load, limits and leave announcements."""
