"""Structured logs on standard error: lines for people at a terminal, JSON elsewhere."""

import logging
import sys

import structlog


def set_up(level="info"):
    shown = (
        [structlog.dev.ConsoleRenderer()]
        if sys.stderr.isatty()
        else [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            *shown,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
