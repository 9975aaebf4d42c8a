"""What nodes tell each other of contents that crash engines."""

import attrs

from flamingoshelf.nodes import message

__all__ = ["ContentReport"]


@message
@attrs.frozen(kw_only=True)
class ContentReport:
    """An engine crashed while it held a content, or the content ran well.

    Parameters
    ----------
    report_id : str
        Identifier, by which a node knows a report that comes again.
    digest : str
        The content.
    engine : str
        The engine that crashed; empty if the content ran well.
    cleared : tuple of str
        The reports of crashes that don't count any more, as the content ran well after them.
    """

    report_id: str
    digest: str
    engine: str = ""
    cleared: tuple[str, ...] = ()
