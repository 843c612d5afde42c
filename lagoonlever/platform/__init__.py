"""The adapter to the users' platform: the one place that knows its names and formats.

Each module decodes one surface once, into types of the product: the settings file,
the metadata store, the operator's configuration, the list of targets, the headers of
requests and answers, and the calls on engines.
"""
