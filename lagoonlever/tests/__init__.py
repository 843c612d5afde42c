"""Tests, named after the module that they test."""
