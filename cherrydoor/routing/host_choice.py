"""The choice of a host for a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cherrydoor.routing.attempt_rules import AttemptRules
from cherrydoor.routing.context import Context
from cherrydoor.routing.function import Function
from cherrydoor.routing.history_table import HistoryTable
from cherrydoor.routing.host import Host
from cherrydoor.routing.messages import AttemptOutcome
from cherrydoor.routing.request import Request
from cherrydoor.routing.statistics import Statistics
from cherrydoor.routing.zone_table import ZoneTable

OBJECTIVE_SHARE = 0.75  # of the latency objective that a predicted response may fill


class Choice(NamedTuple):
    """The host chosen for a request, if any, and one where a copy is to be ordered, if any."""

    host: Host | None
    order_copy_at: Host | None


NO_CHOICE = Choice(None, None)


class HostChooser:
    """Chooses by home and second worker, and by known copies where these are late or overloaded.

    Its only state is the time from which one more copy may be loaded where all are late. Of the
    parts that it is made of, ``hosts`` serves choosers that look at all hosts.
    """

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        hosts: dict[str, Host],
        history: HistoryTable,
        rules: AttemptRules,
        zone_table: ZoneTable,
    ) -> None:
        self._context = context
        self._statistics = statistics
        self._hosts = hosts
        self._history = history
        self._rules = rules
        self._zone_table = zone_table
        self._next_extra_copy_ms = 0.0

    def choose(self, request: Request) -> Choice:
        """The home or second worker; where these are late or overloaded, a host with a copy."""
        function = request.function
        accepts = self._host_filter(request)
        home = self._zone_table.owner(function.home_position, accepts, request.request_class)
        if home is None:
            return NO_CHOICE
        pick = self._home_or_second(request, home, accepts)
        late_ms = OBJECTIVE_SHARE * request.request_class.latency_objective_ms

        def rank(host: Host) -> tuple[bool, float, float, str]:
            predicted_ms = host.predicted_response_ms(function)
            late = host.check_overload() or predicted_ms > late_ms
            return late, host.load(), predicted_ms, host.id

        now = self._context.now
        known = self._known_holders(function)
        holders = [
            host
            for host in known
            if host.is_ready(now, 0.0, request.request_class) and accepts(host)
        ]
        if holders and (pick.check_overload() or pick.predicted_response_ms(function) > late_ms):
            pick = min([pick, *holders], key=rank)
        # Ranked in any case, as that notes which of them are overloaded.
        spare = min(holders, key=rank, default=None)
        if (
            spare is not None
            and not spare.check_overload()
            and pick not in known
            and (self._context.settings.may_order_loads or pick in function.pending_loads)
        ):
            # No request waits behind a load while a copy is loaded: a load order opens the new one.
            return Choice(spare, pick)
        return Choice(self._extra_host(request, pick, late_ms, accepts), None)

    def _host_filter(self, request: Request) -> Callable[[Host], bool]:
        """The check of a host for this request: not tried, with memory, and allowed."""
        now = self._context.now
        function = request.function
        allows = self._rules.allows
        tried = [
            attempt.host
            for attempt in request.attempts
            if attempt.outcome != AttemptOutcome.FUNCTION_MISSING
        ]
        tried += request.skipped_hosts

        def accepts(host: Host) -> bool:
            return (
                host not in tried
                and not function.lacks_memory_at(host, now)
                and allows(request, host)
            )

        return accepts

    def _known_holders(self, function: Function) -> dict[Host, None]:
        """Hosts with a copy, as seen here or as presumed, in this order."""
        now = self._context.now
        seen = [host for host in function.copies if host.holds_copy(function, now)]
        return dict.fromkeys([*seen, *self._zone_table.presumed_holders(function)])

    def _home_or_second(
        self, request: Request, home: Host, accepts: Callable[[Host], bool]
    ) -> Host:
        """The home worker; for a most-called function the second one where home has more load."""
        function = request.function
        second = (
            self._zone_table.owner(
                function.second_position(),
                lambda host: host is not home and accepts(host),
                request.request_class,
            )
            or home
        )
        may_use_second = self._history.is_most_called(function) and (
            second.has_memory() or second.holds_copy(function, self._context.now)
        )
        if may_use_second and (home.check_overload() or second.load() < home.load()):
            return second
        return home

    def _extra_host(
        self, request: Request, pick: Host, late_ms: float, accepts: Callable[[Host], bool]
    ) -> Host:
        """The pick; where all are late, a fast host without a copy, once in the time of a load."""
        now = self._context.now
        function = request.function
        if (
            now <= self._next_extra_copy_ms
            or pick.predicted_response_ms(function) <= late_ms
            or request.tenant.is_overloaded(now)
        ):
            return pick
        self._next_extra_copy_ms = now + self._statistics.load_ms
        extra = self._zone_table.owner(
            function.home_position,
            lambda host: (
                host.predicted_response_ms(function) < late_ms / 2
                and host.has_memory()
                and accepts(host)
            ),
            request.request_class,
        )
        return extra or pick
