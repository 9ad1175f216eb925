"""HTTP API of operators (/admin) and of endpoints (/endpoints).

Every gateway accepts every call. Changes that need a quorum are
proposed to the leader. An edit carries the configuration version that
it was based on and an edit identifier, so that a resent edit gets the
same answer as the first one.
"""

import json
import secrets
from typing import Any
from typing import Awaitable
from typing import Callable
import uuid

import anyio

from primrosehitch import announcements
from primrosehitch import catalog as catalog_module
from primrosehitch import clock
from primrosehitch import declaration as declaration_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import gossip as gossip_module
from primrosehitch import headers as headers_module
from primrosehitch import messages
from primrosehitch import outcomes
from primrosehitch import replicator as replicator_module
from primrosehitch import settings as settings_module
from primrosehitch import state as state_module
from primrosehitch import views as views_module
from primrosehitch import web

PROPOSAL_TIMEOUT_S = 4.0
CONFIRMATION_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02
RETRY_AFTER_S = 2.0
MAX_DECLARATION_BYTES = 32 << 20
MAX_ANNOUNCEMENT_BYTES = 256 << 10
KEY_BYTES = 24

Handler = Callable[[web.Call], Awaitable[None]]


class OperatorApi:
    """Serves the calls of operators and endpoints at one instance.

    Args:
        settings: the settings of the instance.
        catalog: the configuration in force at this instance.
        gossip: the state exchanged with the other instances.
        replicator: the replicator of this instance, or None if the
            instance holds no replica.
        views: serves the read-only calls under /admin.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        catalog: catalog_module.Catalog,
        gossip: gossip_module.Gossip,
        replicator: replicator_module.Replicator | None,
        views: views_module.Views,
    ):
        self.settings = settings
        self.catalog = catalog
        self.gossip = gossip
        self.replicator = replicator
        self.views = views
        self.handlers = self._build_handlers()

    async def serve(self, call: web.Call) -> None:
        """Answer a call under /admin or /endpoints."""
        try:
            handler = self.handlers.get((call.method, call.path))
            if handler is None:
                raise web.RefusedError(
                    web.bad_input("no-such-path", f"no path {call.path}", 404)
                )
            if call.path.startswith("/admin"):
                self._check_operator(call)
            await handler(call)
        except web.RefusedError as exc:
            await web.answer_refusal(call, exc.refusal)
        except errors.SettingsError as exc:
            refusal = web.bad_input("bad-declaration", str(exc))
            await web.answer_refusal(call, refusal)
        except errors.ProposalError as exc:
            await web.answer_refusal(call, _make_proposal_refusal(exc))
        except UnicodeError:
            refusal = web.bad_input(
                "bad-request", "the request has invalid Unicode text"
            )
            await web.answer_refusal(call, refusal)
        except web.CallerGoneError:
            return
        except Exception as exc:
            events.emit(events.TASK_FAILED, task="admin", error=repr(exc))
            refusal = outcomes.Refusal(
                "unknown",
                "internal",
                "internal error at this gateway",
                "admin",
                500,
            )
            await web.answer_refusal(call, refusal)

    def _check_operator(self, call: web.Call) -> None:
        key = headers_module.extract_key(call.headers)
        if settings_module.hash_key(key) not in self.settings.operator_keys:
            raise web.RefusedError(
                outcomes.not_run(
                    "unauthorised",
                    "the key is not an operator key",
                    "admin",
                    401,
                )
            )

    async def _get_declaration(self, call: web.Call) -> None:
        document = declaration_module.from_rows(self.catalog.rows.values())
        value = {"version": self.catalog.version, "declaration": document}
        await web.answer_json(call, 200, value)

    async def _apply_declaration(self, call: web.Call) -> None:
        body = await web.read_body(call, MAX_DECLARATION_BYTES)
        value = web.parse_json(body)
        _check_fields(value, {"declaration"}, {"edit_id", "base_version"})
        document = declaration_module.validate(value["declaration"], "request")
        base = value.get("base_version", self.catalog.version)
        web.check_type(base, int, "base_version")
        rows: tuple[messages.Row, ...] = ()
        await self._wait_for_version(base)
        if base == self.catalog.version:
            current = {
                k: r.value
                for k, r in self.catalog.rows.items()
                if not r.deleted
                and r.table in declaration_module.DECLARED_TABLES
            }
            new = declaration_module.to_rows(document)
            rows = declaration_module.diff_rows(current, new)
        edit = messages.Edit(
            _get_edit_id(value), base, self.settings.name, rows
        )
        await self._answer_edit(call, edit, {"changed_rows": len(rows)})

    async def _wait_for_version(self, version: int) -> None:
        """Wait until the catalog reaches a version.

        Raises:
            RefusedError: the version is not in force here in time.
        """
        with anyio.move_on_after(CONFIRMATION_TIMEOUT_S):
            while self.catalog.version < version:
                await anyio.sleep(POLL_INTERVAL_S)
        if self.catalog.version < version:
            raise web.RefusedError(
                outcomes.not_run(
                    "config-behind",
                    f"version {version} is not in force at this gateway",
                    "edit",
                    409,
                    RETRY_AFTER_S,
                )
            )

    async def _answer_edit(
        self, call: web.Call, edit: messages.Edit, extra: dict[str, Any]
    ) -> None:
        """Propose an edit and answer the call with its result."""
        result = await self.gossip.proposer.propose(edit, PROPOSAL_TIMEOUT_S)
        value = {
            "edit_id": result.edit_id,
            "accepted": result.accepted,
            "version": result.version,
            **extra,
        }
        if not result.accepted:
            value["conflicts"] = [_row_to_json(r) for r in result.conflicts]
            value["reason"] = "version-conflict"
            await web.answer_json(call, 409, value)
            return
        value.update(
            await self._wait_for_confirmation(
                lambda: self._find_instances_behind(result)
            )
        )
        await web.answer_json(call, 200, value)

    def _find_instances_behind(self, result: messages.EditResult) -> list[str]:
        """Return the instances that may not have an edit in force."""
        behind = []
        if self.catalog.version < result.version:
            behind.append(self.settings.name)
        for member in self.gossip.members.members.values():
            current = member.heartbeat.version
            alive = self.gossip.members.is_alive(member.name)
            if current < result.version or not alive:
                behind.append(member.name)
        return behind

    async def _wait_for_confirmation(
        self, find_unconfirmed: Callable[[], list[str]]
    ) -> dict[str, Any]:
        """Wait until all reachable instances confirm a change.

        Args:
            find_unconfirmed: returns the names of the instances that have
                not confirmed the change.

        Returns:
            The fields ``in_force`` and ``unconfirmed`` of the answer.
        """
        with anyio.move_on_after(CONFIRMATION_TIMEOUT_S):
            while any(self._is_reachable(n) for n in find_unconfirmed()):
                await anyio.sleep(POLL_INTERVAL_S)
        missing = find_unconfirmed()
        names = [self.settings.name, *self.gossip.members.members]
        return {
            "in_force": [n for n in names if n not in missing],
            "unconfirmed": [self.views.describe_instance(n) for n in missing],
        }

    def _is_reachable(self, name: str) -> bool:
        own = name == self.settings.name
        return own or self.gossip.members.is_alive(name)

    async def _create_key(self, call: web.Call) -> None:
        value = web.parse_json(await web.read_body(call, 65536))
        _check_fields(value, {"customer"}, {"edit_id", "key_hash"})
        customer = value["customer"]
        web.check_type(customer, str, "customer")
        if customer not in self.catalog.items["customer"]:
            raise web.RefusedError(
                web.bad_input("unknown-customer", f"no {customer!r}", 404)
            )
        extra: dict[str, Any] = {}
        key_hash = value.get("key_hash", "")
        if not key_hash:
            extra["key"] = "ph-" + secrets.token_urlsafe(KEY_BYTES)
            key_hash = settings_module.hash_key(extra["key"])
        if not _is_key_hash(key_hash):
            raise web.RefusedError(
                web.bad_input(
                    "bad-key-hash", "the key hash is not a hexadecimal SHA-256"
                )
            )
        extra.update(key_hash=key_hash, key_id=key_hash[:12])
        row_value = json.dumps({"customer": customer, "id": key_hash[:12]})
        row = messages.Row(state_module.KEY_TABLE, key_hash, row_value)
        edit = messages.Edit(
            _get_edit_id(value),
            state_module.ANY_VERSION,
            self.settings.name,
            (row,),
        )
        await self._answer_edit(call, edit, extra)

    async def _list_keys(self, call: web.Call) -> None:
        keys = [
            {
                "key_id": k.key_id,
                "key_hash": k.key_hash,
                "customer": k.customer,
                "withdrawn": k.key_hash in self.catalog.withdrawals,
            }
            for k in self.catalog.items["key"].values()
        ]
        await web.answer_json(call, 200, {"keys": keys})

    async def _withdraw_key(self, call: web.Call) -> None:
        value = web.parse_json(await web.read_body(call, 65536))
        _check_fields(value, set(), {"key_id", "key_hash", "key"})
        key_hash = self._resolve_key_hash(value)
        withdrawal = messages.Withdrawal(
            key_hash, self.settings.name, int(clock.wall_s() * 1000)
        )
        self.gossip.apply_withdrawals([withdrawal])
        durable = await self._replicate_withdrawals()
        value = await self._wait_for_confirmation(
            self._find_instances_without_withdrawals
        )
        value.update(key_id=key_hash[:12], withdrawn=True, durable=durable)
        await web.answer_json(call, 200, value)

    def _resolve_key_hash(self, value: dict[str, Any]) -> str:
        """Return the hash of a key given by key, hash or identifier."""
        if "key" in value:
            return settings_module.hash_key(str(value["key"]))
        wanted = str(value.get("key_hash") or value.get("key_id") or "")
        if _is_key_hash(wanted):
            return wanted
        found = [
            h for h in self.catalog.items["key"] if wanted and h[:12] == wanted
        ]
        if len(found) != 1:
            raise web.RefusedError(
                web.bad_input("unknown-key", f"no key {wanted!r}", 404)
            )
        return found[0]

    async def _replicate_withdrawals(self) -> bool:
        """Propose all known withdrawals; return whether that succeeded."""
        batch = messages.WithdrawalBatch(
            tuple(self.catalog.withdrawals.values())
        )
        try:
            await self.gossip.proposer.propose(batch, CONFIRMATION_TIMEOUT_S)
        except errors.ProposalError:
            return False
        return True

    def _find_instances_without_withdrawals(self) -> list[str]:
        """Return the peers without all withdrawals known here."""
        wanted = self.catalog.withdrawals_digest
        return [
            m.name
            for m in self.gossip.members.members.values()
            if m.heartbeat.withdrawals_digest != wanted
            or not self.gossip.members.is_alive(m.name)
        ]

    async def _init_cluster(self, call: web.Call) -> None:
        value = web.parse_json(await web.read_body(call, 65536) or b"{}")
        _check_fields(value, set(), {"force"})
        if self.replicator is None:
            raise web.RefusedError(
                web.bad_input(
                    "no-data-folder", "this instance is not a replica", 409
                )
            )
        self._check_init(bool(value.get("force")))
        cluster = uuid.uuid4().hex
        self.replicator.offer(replicator_module.Bootstrap(cluster))
        with anyio.move_on_after(PROPOSAL_TIMEOUT_S):
            while not self.replicator.is_leader():
                await anyio.sleep(POLL_INTERVAL_S)
        await web.answer_json(call, 200, {"cluster": cluster})

    def _check_init(self, force: bool) -> None:
        """Check that a new cluster would not replace an existing one.

        Replicas that cannot be reached may hold state, so the call is
        refused while any is unreachable, unless it is forced.
        """
        assert self.replicator is not None
        members = self.gossip.members.members
        has_state = not self.replicator.is_empty or any(
            m.heartbeat.replica_state == "member" for m in members.values()
        )
        if has_state:
            raise web.RefusedError(
                web.bad_input(
                    "already-initialised", "a replica already holds state", 409
                )
            )
        replica_names = [p.name for p in self.settings.peers if p.replica]
        unreachable = [
            n for n in replica_names if not self.gossip.members.is_alive(n)
        ]
        if unreachable and not force:
            raise web.RefusedError(
                web.bad_input(
                    "replicas-unreachable",
                    f"unreachable replicas {unreachable} may hold state",
                    409,
                )
            )

    async def _receive_announcement(self, call: web.Call) -> None:
        body = await web.read_body(call, MAX_ANNOUNCEMENT_BYTES)
        value = web.parse_json(body)
        announcement = announcements.parse_announcement(value)
        token = self.settings.announce_tokens.get(announcement.kind)
        given = headers_module.extract_key(call.headers)
        if token is None or not secrets.compare_digest(
            given.encode(), token.encode()
        ):
            raise web.RefusedError(
                outcomes.not_run(
                    "unauthorised",
                    "wrong token for this endpoint kind",
                    "announce",
                    401,
                )
            )
        self.gossip.apply_announcement(announcement)
        value = {
            "heard_by": self.settings.name,
            "next_ms": self.gossip.directory.announcement_period_ms(),
        }
        await web.answer_json(call, 200, value)

    def _build_handlers(self) -> dict[tuple[str, str], Handler]:
        """Return the handler of each method and path."""
        views = self.views
        return {
            ("GET", "/admin/declaration"): self._get_declaration,
            ("POST", "/admin/declaration"): self._apply_declaration,
            ("GET", "/admin/keys"): self._list_keys,
            ("POST", "/admin/keys"): self._create_key,
            ("POST", "/admin/keys/withdraw"): self._withdraw_key,
            ("POST", "/admin/init"): self._init_cluster,
            ("GET", "/admin/status"): views.get_status,
            ("GET", "/admin/endpoints"): views.get_endpoints,
            ("GET", "/admin/burn"): views.get_burn_rates,
            ("GET", "/admin/usage"): views.get_usage,
            ("GET", "/admin/orders"): views.get_orders,
            ("POST", "/endpoints/announce"): self._receive_announcement,
        }


def _check_fields(
    value: dict[str, Any], required: set[str], optional: set[str]
) -> None:
    missing = required - set(value)
    unknown = set(value) - required - optional
    if missing or unknown:
        text = f"missing {sorted(missing)}, unknown {sorted(unknown)} fields"
        raise web.RefusedError(web.bad_input("bad-request", text))


def _get_edit_id(value: dict[str, Any]) -> str:
    edit_id = value.get("edit_id") or uuid.uuid4().hex
    web.check_type(edit_id, str, "edit_id")
    return edit_id


def _is_key_hash(text: Any) -> bool:
    if not isinstance(text, str) or len(text) != 64:
        return False
    return all(c in "0123456789abcdef" for c in text)


def _row_to_json(row: messages.Row) -> dict[str, Any]:
    return {
        "table": row.table,
        "key": row.key[:12] if row.table == "key" else row.key,
        "value": json.loads(row.value) if row.value else None,
        "version": row.version,
        "deleted": row.deleted,
    }


def _make_proposal_refusal(exc: errors.ProposalError) -> outcomes.Refusal:
    if not exc.maybe_applied:
        return outcomes.not_run(
            "no-quorum", "no leader is reachable", "edit", 503, RETRY_AFTER_S
        )
    return outcomes.Refusal(
        "unknown",
        "no-quorum",
        "the edit may still be accepted; resend it with the same edit_id",
        "edit",
        503,
        RETRY_AFTER_S,
    )


__all__ = ["OperatorApi"]
