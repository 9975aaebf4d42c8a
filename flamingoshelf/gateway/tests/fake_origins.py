"""Origins of streams that need no other node and no store."""


class FakeOrigins:
    """Knows what a test says, and what was recorded."""

    def __init__(self):
        self.known = {}
        self.recorded = []

    def record(self, key, origin, *, keep_s):
        self.known[key] = origin
        self.recorded.append((key, origin, keep_s))

    async def find(self, key):
        return self.known.get(key)
