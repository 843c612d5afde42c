"""The tree of settings: nodes for organisations, teams and caller classes.

Each node inherits every option from its parent unless it overrides it. The
modules here are pure: a document in, a checked tree out, and what differs.
"""

from __future__ import annotations

from lagoonlever.tree.nodes import Node, Override, TreeView, UnknownNode
from lagoonlever.tree.options import EffectiveSettings

__all__ = ["EffectiveSettings", "Node", "Override", "TreeView", "UnknownNode"]
