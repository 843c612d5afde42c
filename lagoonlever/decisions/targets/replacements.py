"""Whether the process that answers at a lost target's address may take its place unlisted.

The load that is answered: the store is away for eight seconds while the engines of one
data centre after the other crash and come back within two. They can't register, so the
list holds only ids that are gone: at the end of it nearly every engine was idle and
unknown, and streams were refused (a sixth of the worth of these seconds was earned).

A process that answers at the address tells its id, not its service, and addresses of
targets that ended are given to other services after a while. Within that while it can
only be of the same service: the proof is a sign of life of the former target, sent
before it ended, and an answer of the new one before an address may be given away.
"""

from __future__ import annotations

import attrs

ASK_AFTER_S = (1.35, 1.5)
"""After the last sign of life: engines that crash are back after 1.2 s and more."""
DELAY_MARGIN_S = 0.4
"""How old a sign of life may have been when it arrived: a lost packet is sent twice."""
SIGN_EVERY_S = 0.05
"""How often an attempt looks for a sign of life; two events of an idle engine."""
WAITED_S = 0.005
"""What is read at once may have arrived long before, as after a pause of this VM."""
UNLISTED_S = 4.0
"""How long a target stays usable without an entry, once the store is there."""


@attrs.define(kw_only=True)
class LifeSigns:
    """When a target certainly lived; times are seconds that a suspended VM counts too.

    Guards against a VM that was paused: it reads what came before its pause, or long
    ago, and would take it for new. So a sign is dated by the last moment at which
    nothing was there to be read, and counts only if its reader then had to wait for it.
    """

    alive_at: float | None = None
    _empty_at: float | None = None

    def wants_look(self, now: float) -> bool:
        """Tell whether it is time to look whether anything is there to be read."""
        return self.alive_at is None or now - self.alive_at >= SIGN_EVERY_S

    def waits(self, now: float, *, nothing_there: bool) -> None:
        """Note that a reader begins to wait."""
        self._empty_at = now if nothing_there else None

    def arrived(self, now: float) -> None:
        """Note that something came."""
        if self._empty_at is not None and now - self._empty_at >= WAITED_S:
            self.alive_at = self._empty_at


def same_service(*, alive_at: float, answered_at: float, reuse_s: float) -> bool:
    """Tell whether an address can't have been given to another service meanwhile.

    ``alive_at`` is the former target's last sign of life, ``answered_at`` when another
    one had answered, ``reuse_s`` how long an address stays unused at least.
    """
    return answered_at - alive_at < reuse_s - DELAY_MARGIN_S
