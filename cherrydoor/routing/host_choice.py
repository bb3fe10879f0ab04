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

OBJECTIVE_SHARE = 0.75  # of the latency objective that a predicted response time may take


class Choice(NamedTuple):
    """The result of a choice.

    Attributes:
        host: Host for the request; None if no host can take it.
        order_copy_at: Host where a copy of the function is to be ordered; None for none.
    """

    host: Host | None
    order_copy_at: Host | None


NO_CHOICE = Choice(None, None)


class HostChooser:
    """Chooses the home or second worker, or a host with a copy if they are late or overloaded.

    Its only state is the time from which a further copy may be loaded when all hosts with a copy
    are predicted late. The parameter ``hosts`` is for subclasses that choose among all hosts.
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
        """Choose the home or second worker, or a host with a copy if these are late.

        An overloaded host counts as late.
        """
        function = request.function
        accepts = self._host_filter(request)
        home = self._zone_table.owner(function.home_position, accepts, request.request_class)
        if home is None:
            return NO_CHOICE
        chosen = self._home_or_second(request, home, accepts)
        max_response_ms = OBJECTIVE_SHARE * request.request_class.latency_objective_ms

        def rank(host: Host) -> tuple[bool, float, float, str]:
            predicted_ms = host.load.predicted_response_ms(function)
            late = host.load.check_overload() or predicted_ms > max_response_ms
            return late, host.load.requests(), predicted_ms, host.id

        now = self._context.now
        known = self._known_holders(function)
        holders = [
            host
            for host in known
            if host.is_ready(now, 0.0, request.request_class) and accepts(host)
        ]
        if holders and (
            chosen.load.check_overload()
            or chosen.load.predicted_response_ms(function) > max_response_ms
        ):
            chosen = min([chosen, *holders], key=rank)
        # Ranking always runs, because it also updates which holders are overloaded.
        holder = min(holders, key=rank, default=None)
        if (
            holder is not None
            and not holder.load.check_overload()
            and chosen not in known
            and (self._context.settings.may_order_loads or chosen in function.pending_loads)
        ):
            # A loaded copy can serve the request, so it does not wait for a load: a load order
            # prepares the copy at the chosen host.
            return Choice(holder, chosen)
        return Choice(self._extra_host(request, chosen, max_response_ms, accepts), None)

    def _host_filter(self, request: Request) -> Callable[[Host], bool]:
        """Return a filter for hosts that are untried, have memory and may get the request."""
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
        """Hosts with a copy of the function: first those seen here, then those presumed."""
        now = self._context.now
        seen = [host for host in function.copies if host.holds_copy(function, now)]
        return dict.fromkeys([*seen, *self._zone_table.presumed_holders(function)])

    def _home_or_second(
        self, request: Request, home: Host, accepts: Callable[[Host], bool]
    ) -> Host:
        """The home worker, or the second worker of a most-called function if home has more load."""
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
        if may_use_second and (
            home.load.check_overload() or second.load.requests() < home.load.requests()
        ):
            return second
        return home

    def _extra_host(
        self,
        request: Request,
        chosen: Host,
        max_response_ms: float,
        accepts: Callable[[Host], bool],
    ) -> Host:
        """The chosen host, or a fast host without a copy if the chosen one is predicted late.

        A further copy is begun at most once in the mean load time, and not for a tenant that is
        overloaded.
        """
        now = self._context.now
        function = request.function
        if (
            now <= self._next_extra_copy_ms
            or chosen.load.predicted_response_ms(function) <= max_response_ms
            or request.tenant.is_overloaded(now)
        ):
            return chosen
        self._next_extra_copy_ms = now + self._statistics.load_ms
        extra = self._zone_table.owner(
            function.home_position,
            lambda host: (
                host.load.predicted_response_ms(function) < max_response_ms / 2
                and host.has_memory()
                and accepts(host)
            ),
            request.request_class,
        )
        return extra or chosen
