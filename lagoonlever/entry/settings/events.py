"""The log events of the settings part."""

from __future__ import annotations

from lagoonlever.events import event

IN_FORCE = event(
    400,
    "settings-in-force",
    "notice",
    "Version {version} of the settings is in force, told by {source}.",
    "This VM decides by the new settings from now on. Nothing to do.",
)
UNREADABLE = event(
    401,
    "settings-unreadable",
    "error",
    "Version {version} of the settings, told by {source}, can't be read: {message}",
    "The VM keeps the version that it has. Usually the settings were written by a later "
    "release; update this VM.",
)
VANISHED = event(
    402,
    "settings-vanished",
    "error",
    "The platform holds version {found} of the settings, and {version} is in force here.",
    "A version never goes back, so this VM keeps what it has. The platform's data was lost or "
    "restored from a copy; store the settings again from `lagoonlever settings show`.",
)
WATCH_COMPACTED = event(
    403,
    "settings-watch-compacted",
    "info",
    "The watch of the settings lost its place; they are read anew.",
    "The platform forgot changes that this VM had not seen yet. Nothing to do.",
)
WATCH_MISSED = event(
    404,
    "settings-watch-missed",
    "warning",
    "A read found version {version} of the settings, which the watch had not told.",
    "The watch had silently stopped; it is opened anew. If this repeats, look at the network "
    "between this VM and the platform.",
)
STANDING_CHANGED = event(
    405,
    "settings-standing-changed",
    "notice",
    "New work as far as the settings go: {standing}.",
    "'serving' takes work. 'starting' and 'unconfirmed' wait for the platform or peers to tell "
    "the version. 'isolated' reaches neither; check this VM's network.",
)
STORED = event(
    406,
    "settings-stored",
    "notice",
    "Change {change_id} by {author} is stored as version {version}: {keys}",
    "An operator changed the settings through this VM. Nothing to do.",
)
REFUSED = event(
    407,
    "settings-change-refused",
    "info",
    "Change {change_id} by {author} was not stored: {message}",
    "The operator was told why. Nothing to do.",
)
