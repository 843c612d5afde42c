"""Lifecycle of streams and generations: attempts, placement, resumes, loss detection."""
