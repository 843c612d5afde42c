"""Detectors of silence, and what suspecting may cost."""
