"""Message about a content that crashed an engine or ran to its end."""

import attrs

from flamingoshelf.nodes import message

__all__ = ["ContentReport"]


@message
@attrs.frozen(kw_only=True)
class ContentReport:
    """Report that an engine crashed while it held a content, or that the content ran to its end.

    Parameters
    ----------
    report_id : str
        Identifier by which nodes detect duplicates of a report.
    digest : str
        Digest of the content.
    engine : str
        Engine that crashed; empty if the content ran to its end.
    cleared : tuple of str
        Ids of earlier crash reports that no longer count, as the content ran to its end since.
    """

    report_id: str
    digest: str
    engine: str = ""
    cleared: tuple[str, ...] = ()
