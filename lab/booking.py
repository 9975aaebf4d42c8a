"""Stand-in for a plain service whose calls are not idempotent: bookings of vans or pickups."""

import asyncio
import os
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from lab.records import Recorder
from lab.server import KeyLeakCounter

__all__ = ["build_booking_app"]

_CRASH_STATUS = 3


class Booking:
    """Service that counts executions by booking name; only their records survive a crash."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._executions: Counter[str] = Counter()
        self._crash_point: str | None = None
        self._delay_s = 0.005

    async def book(self, request: Request) -> Response:
        """Execute the booking named by the last part of the path; GET returns its executions."""
        name = request.path_params["path"].rsplit("/", 1)[-1]
        if request.method == "GET":
            return JSONResponse({"booking": name, "executions": self._executions[name]})
        await request.body()
        if self._crash_point == "before":
            os._exit(_CRASH_STATUS)
        self._executions[name] += 1
        self._recorder.write("execution", name)
        self._recorder.write("attempt", request.headers.get("x-attempt", ""))
        if self._crash_point == "after":
            os._exit(_CRASH_STATUS)
        await asyncio.sleep(self._delay_s)
        return JSONResponse({"booking": name}, 201)

    async def control(self, request: Request) -> Response:
        """Serve ``/control``: set the crash point and the delay; return the counts."""
        if request.method == "POST":
            order: dict[str, Any] = await request.json()
            self._crash_point = order.get("crash", self._crash_point)
            self._delay_s = order.get("delay_s", self._delay_s)
        executions = dict(self._executions)
        return JSONResponse({"executions": executions, "keys_seen": KeyLeakCounter.leak_count})


def build_booking_app(recorder: Recorder) -> Starlette:
    """Return the service as an ASGI application."""
    booking = Booking(recorder)
    return Starlette(
        routes=[
            Route("/control", booking.control, methods=["GET", "POST"]),
            Route("/{path:path}", booking.book, methods=["GET", "POST", "PUT", "DELETE"]),
        ],
        middleware=[Middleware(KeyLeakCounter)],
    )
