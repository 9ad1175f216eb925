"""Read-only operator API: status, endpoints, usage, orders, burn rates.

Usage and orders are read from the replicated state, so only an instance
with a replica serves them.
"""

from typing import Any

from primrosehitch import catalog as catalog_module
from primrosehitch import clock
from primrosehitch import gateway as gateway_module
from primrosehitch import gossip as gossip_module
from primrosehitch import membership as membership_module
from primrosehitch import replicator as replicator_module
from primrosehitch import settings as settings_module
from primrosehitch import state as state_module
from primrosehitch import web


class Views:
    """Serves the read-only operator calls of one instance.

    Args:
        settings: the settings of the instance.
        catalog: the configuration in force at this instance.
        gossip: the state exchanged with the other instances.
        gateway: serves the requests of customers.
        replicator: the replicator of this instance, or None if the
            instance holds no replica.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        catalog: catalog_module.Catalog,
        gossip: gossip_module.Gossip,
        gateway: gateway_module.Gateway,
        replicator: replicator_module.Replicator | None,
    ):
        self.settings = settings
        self.catalog = catalog
        self.gossip = gossip
        self.gateway = gateway
        self.replicator = replicator

    def describe_instance(self, name: str) -> dict[str, Any]:
        """Return an instance's domain, status and silence.

        Args:
            name: the instance. For one that is not a peer, which is this
                instance itself, only its name and domain are returned.
        """
        member = self.gossip.members.members.get(name)
        if member is None:
            return {"instance": name, "domain": self.settings.domain}
        silent_s = None
        if member.last_heard_at >= 0:
            silent_s = round((clock.now_ms() - member.last_heard_at) / 1000, 1)
        return {
            "instance": name,
            "domain": member.domain,
            "status": member.status,
            "last_heard_s_ago": silent_s,
        }

    async def get_status(self, call: web.Call) -> None:
        """Answer with the status of this instance and its peers."""
        now = clock.now_ms()
        readiness = self.gateway.readiness
        refusal = readiness.refusal(now)
        value: dict[str, Any] = {
            "instance": self.settings.name,
            "domain": self.settings.domain,
            "version": self.catalog.version,
            "withdrawn_keys": len(self.catalog.withdrawals),
            "leader": self.gossip.leader(),
            "ready": readiness.is_ready(now),
            "not_ready_reason": refusal.reason if refusal else None,
            "members": [
                self._describe_member(m) for m in self._list_members()
            ],
            "endpoints": len(self.gossip.directory.endpoints),
            "replica": self._describe_replica(),
        }
        await web.answer_json(call, 200, value)

    def _list_members(self) -> list[membership_module.Member]:
        return list(self.gossip.members.members.values())

    def _describe_member(
        self, member: membership_module.Member
    ) -> dict[str, Any]:
        value = self.describe_instance(member.name)
        value["version"] = member.heartbeat.version
        value["withdrawn_keys"] = member.heartbeat.withdrawals
        for peer in self.settings.peers:
            if peer.name == member.name:
                value["http"] = str(peer.http)
        return value

    def _describe_replica(self) -> dict[str, Any] | None:
        replicator = self.replicator
        if replicator is None:
            return None
        raft = replicator.raft
        return {
            "id": replicator.identity.replica,
            "cluster": replicator.identity.cluster,
            "role": raft.role,
            "term": raft.term,
            "commit": raft.commit_index,
            "log_entries": len(replicator.log.entries),
            "withdrawn_keys": len(replicator.replica.state.withdrawals),
            "voters": list(raft.voters),
            "learners": list(raft.learners),
            "in_charge": replicator.has_exclusive_lease(),
            "repaired": replicator.is_fully_replicated(),
            "failed": replicator.failure or None,
        }

    async def get_endpoints(self, call: web.Call) -> None:
        """Answer with the endpoints in this instance's directory."""
        items = []
        for endpoint in self.gossip.directory.endpoints.values():
            value = endpoint.announcement._asdict()
            del value["prefixes"]
            value["status"] = endpoint.status
            items.append(value)
        await web.answer_json(call, 200, {"endpoints": items})

    async def get_burn_rates(self, call: web.Call) -> None:
        """Answer with this gateway's burn-rate buckets and the classes.

        The query parameter ``since`` selects the first bucket.
        """
        since = float(call.parameters().get("since", "0") or 0)
        value = {
            "instance": self.settings.name,
            "buckets": self.gateway.burn.export(since),
            "classes": [
                c._asdict() for c in self.catalog.items["class"].values()
            ],
        }
        await web.answer_json(call, 200, value)

    async def get_usage(self, call: web.Call) -> None:
        """Answer with the usage in the replicated state."""
        state = self._get_replicated_state()
        windows = [
            {
                "window": w.window,
                "state": w.state,
                "rows": [r._asdict() for r in w.rows],
            }
            for w in state.windows.values()
        ]
        open_rows = [
            {"window": key[0], **row._asdict()}
            for key, row in sorted(state.open_usage.items())
        ]
        value = {"windows": windows, "open": open_rows}
        await web.answer_json(call, 200, value)

    async def get_orders(self, call: web.Call) -> None:
        """Answer with the platform orders in the replicated state."""
        platform_orders = self._get_replicated_state().orders.values()
        value = {"orders": [o._asdict() for o in platform_orders]}
        await web.answer_json(call, 200, value)

    def _get_replicated_state(self) -> state_module.State:
        """Return the replicated state.

        Raises:
            RefusedError: this instance is not a replica.
        """
        if self.replicator is None:
            raise web.RefusedError(
                web.bad_input(
                    "no-data-folder",
                    "this instance holds no replicated state; ask a replica",
                    409,
                )
            )
        return self.replicator.replica.state


__all__ = ["Views"]
