"""Adapters to the engines and application services behind the system."""
