"""Views of the targets and flows of this host, for operators."""

import itertools

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.flows import table as flow_table
from tamarack_core.internal.targets import lease_table
from tamarack_core.packets import ip


class OperatorViews:
    """Component that responds to reads of targets and flows.

    Attributes:
        config_store: Configuration in force.
        targets: Announced targets.
        load_table: Load by target.
        flows: Flow table.
    """

    __slots__ = ("config_store", "flows", "load_table", "targets")

    def __init__(
        self,
        config_store: configuration_store.ConfigurationStore,
        targets: lease_table.TargetLeaseTable,
        load_table: load_table_lib.LoadTable,
        flows: flow_table.FlowTable,
    ) -> None:
        """Initializes the operator views.

        Args:
            config_store: Configuration in force.
            targets: Announced targets.
            load_table: Load by target.
            flows: Flow table.
        """
        self.config_store = config_store
        self.targets = targets
        self.load_table = load_table
        self.flows = flows

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            requests.ReadTargets: self.handle_targets,
            requests.ReadFlows: self.handle_flows,
        }

    def handle_targets(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Responds with the announced targets, of one service or of all."""
        request = event.request
        assert isinstance(request, requests.ReadTargets)
        open_flows = self._open_flows()
        views = [
            self._target_view(event.now_s, address, target, open_flows)
            for address, target in self.targets.targets.items()
            if request.service in ("", target.announcement.service)
        ]
        response = requests.TargetsRead(tuple(views))
        return [effects.Respond(event.request_id, response)]

    def handle_flows(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Responds with the open flows that match, up to a limit."""
        request = event.request
        assert isinstance(request, requests.ReadFlows)
        matching = (
            view
            for slot in self.flows.sweep(0, len(self.flows.keys))
            if (view := self._flow_view(event.now_s, slot, request))
        )
        # One view beyond the limit shows whether there are more flows.
        views = tuple(itertools.islice(matching, request.limit + 1))
        response = requests.FlowsRead(
            views[: request.limit], len(views) > request.limit
        )
        return [effects.Respond(event.request_id, response)]

    def _open_flows(self) -> dict[bytes, int]:
        """Returns the number of open flows that this host owns, by target."""
        counts: dict[bytes, int] = {}
        for slot in self.flows.sweep(0, len(self.flows.keys)):
            flags = self.flows.flags[slot]
            if flags & flow_table.OWNED and not flags & flow_table.CLOSED:
                target = self.flows.target_of(slot)
                counts[target] = counts.get(target, 0) + 1
        return counts

    def _target_view(
        self,
        now_s: float,
        address: bytes,
        target: lease_table.TargetLease,
        open_flows: dict[bytes, int],
    ) -> requests.TargetView:
        """Returns the view of a target."""
        announcement = target.announcement
        return requests.TargetView(
            address=announcement.address,
            service=announcement.service,
            domain=announcement.domain,
            state=announcement.state,
            is_expired=target.expires_s <= now_s,
            slots=announcement.slots,
            active=round(self.load_table.active(now_s, address), 2),
            held=round(self.load_table.held(address), 2),
            owned_flows=open_flows.get(address, 0),
        )

    def _flow_view(
        self, now_s: float, slot: int, request: requests.ReadFlows
    ) -> requests.FlowView | None:
        """Returns the view of a flow, or None if the request excludes it."""
        key = self.flows.keys[slot]
        flags = self.flows.flags[slot]
        if key is None or flags & flow_table.CLOSED:
            return None
        port = self.config_store.lookup.find_key(key)
        target = ip.format_address(self.flows.target_of(slot))
        if port is None or request.service not in ("", port.service):
            return None
        if request.target not in ("", target):
            return None
        return requests.FlowView(
            flow=lookup.format_flow(key),
            service=port.service,
            work_class=port.work_class,
            target=target,
            role=_role(flags),
            is_established=bool(flags & flow_table.ESTABLISHED),
            age_s=round(now_s - self.flows.opened_s[slot], 1),
            idle_s=max(0.0, round(now_s - self.flows.seen_s[slot], 1)),
        )


def _role(flags: int) -> requests.FlowRole:
    """Returns the role of this host for a flow."""
    if flags & flow_table.OWNED:
        return requests.FlowRole.OWNER
    if flags & flow_table.BACKUP:
        return requests.FlowRole.BACKUP
    return requests.FlowRole.COPY
