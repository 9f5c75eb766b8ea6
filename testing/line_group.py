"""Groups of instances: promotions, replication, and whether a promoted log holds all acknowledged
writes."""
import asyncio
import collections
import dataclasses
import random
import time


@dataclasses.dataclass
class AnswerFaults:
    """Faults in the answers of instances, as shares of them. Answers to the host's own statements
    and to CONNECT are answers too."""
    rng: random.Random
    twice: float = 0.0
    late: float = 0.5  # of the second answers; the others are sent along with the first
    late_seconds: tuple = (0.005, 0.4)
    lost: float = 0.0  # the connection returns nothing further
    cut: float = 0.0   # likewise, from some byte of the answer on
    busy: float = 0.0  # of the statements that occupy a slot
    counts: dict = dataclasses.field(default_factory=collections.Counter)

    def draws(self, fault):
        is_drawn = self.rng.random() < getattr(self, fault)
        self.counts[fault] += is_drawn
        return is_drawn


class Group:
    """A primary and its replicas. A log is a list of (term, number, item, value)."""

    promote_seconds = 1.0  # from the acceptance of an order until it takes effect
    check_in_seconds = 1.2
    rollback_seconds = 0.3

    def __init__(self, name, store):
        self.name, self.store, self.term = name, store, 1
        self.instances, self.fence_token = {}, 0
        self.acknowledged_writes, self.lost_writes, self.trace = {}, [], []
        self.order_count, self.last_ordered, self.rng = 0, None, random.Random(name)
        self.former_logs = {}  # id -> set of (item, value), of instances that have left
        self.runs, self.runs_by_digest, self.answer_faults = [], {}, AnswerFaults(self.rng)

    def note(self, text):
        self.trace.append((time.monotonic(), text))

    def start(self):
        """Starts what goes on by itself: check-ins, expiry of entries, and replication."""
        self.tasks = [asyncio.ensure_future(self.keep_entries()),
                      asyncio.ensure_future(self.keep_replicating())]

    def primary(self):
        return next((instance for instance in self.instances.values()
                     if instance.role == "primary"), None)

    async def promote(self, instance_id, token, holder="?", called_at=None):
        order = {"id": instance_id, "token": token, "holder": holder,
                 "called_at": called_at or time.monotonic(), "accepted_at": time.monotonic()}
        describe = lambda answer: self.note(f"promotion of {instance_id} ordered by {holder}, "
                                            f"token {token}: {answer}")
        if token < self.fence_token:
            describe(f"refused, token {self.fence_token} was seen")
            return 409, {"error": "outrun"}
        self.fence_token = token
        candidate = self.instances.get(instance_id)
        if not candidate or not candidate.is_running:
            describe("refused, it does not run")
            return 409, {"error": "not running"}
        if candidate.role == "primary":
            describe("it is the primary already")
            return 200, {}
        describe("accepted")
        asyncio.get_running_loop().call_later(self.promote_seconds, lambda: asyncio.ensure_future(
            self.complete_promotion(candidate, order)))
        return 200, {}

    async def complete_promotion(self, candidate, order=None):
        if not candidate.is_running or self.instances.get(candidate.id) is not candidate:
            self.note(f"promotion of {candidate.id} has no effect, it does not run")
            return
        if candidate.role == "primary":
            return
        self.check_promoted_log(candidate, order)
        self.term += 1
        self.note(f"{candidate.id} leads term {self.term} from {candidate.received_position()}")
        for instance in self.instances.values():
            instance.role, instance.held, instance.term = "replica", 0, self.term
            if instance is not candidate:
                instance.roll_back(candidate.log)
        candidate.role = "primary"
        candidate.applied = len(candidate.log)
        for instance in list(self.instances.values()):
            await instance.register()

    def find_holders(self, write):
        """Returns the ids of the instances whose log has the write; in parentheses if they left."""
        return [instance.id for instance in self.instances.values() if instance.has(write)] + \
            [f"({name})" for name, writes in self.former_logs.items() if write in writes]

    def check_promoted_log(self, candidate, order):
        writes = {(entry[2], entry[3]) for entry in candidate.log}
        for write, acknowledged_at in list(self.acknowledged_writes.items()):
            if write not in writes:
                self.add_lost_write(write, acknowledged_at, candidate, order)

    def add_lost_write(self, write, acknowledged_at, candidate, order):
        del self.acknowledged_writes[write]
        self.lost_writes.append({
            "write": write, "acknowledged_at": acknowledged_at, "promoted": candidate.id,
            "held_by": self.find_holders(write), "order": order, "effect_at": time.monotonic()})

    def note_acknowledged(self, item, value):
        """Records that a caller was told of the commit of a write."""
        self.acknowledged_writes[(item, value)] = time.monotonic()
        primary = self.primary()
        # The answer may have been under way when another instance took the lead.
        if primary and not primary.has((item, value)):
            self.note(f"{item}={value} was acknowledged after the promotion of {primary.id}")
            self.add_lost_write((item, value), time.monotonic(), primary, None)

    def describe_lost_writes(self, origin):
        """Returns a line for each promotion that lost writes, with times since the origin."""
        promotions, at = {}, lambda moment: f"{moment - origin:.3f}"
        for lost in self.lost_writes:
            order = lost["order"] or {}
            key = lost["promoted"], order.get("token"), order.get("accepted_at")
            promotions.setdefault(key, []).append(lost)
        for (promoted, token, accepted_at), writes in promotions.items():
            first, order = writes[0], writes[0]["order"]
            how = f"token {token}, by {order['holder']}, called at {at(order['called_at'])}, " \
                f"accepted at {at(accepted_at)}, took effect at {at(first['effect_at'])}" \
                if order else "answered after the promotion"
            yield f"LOST in {self.name}: {promoted} was promoted without {len(writes)} " \
                f"acknowledged writes ({how}); the first: {'='.join(first['write'])}, " \
                f"acknowledged at {at(first['acknowledged_at'])}, held by " \
                f"{' '.join(first['held_by']) or 'none now'}"

    async def keep_entries(self):
        while True:
            await asyncio.sleep(0.05)
            for instance in list(self.instances.values()):
                await instance.check_in(time.monotonic())

    async def keep_replicating(self):
        while True:
            await asyncio.sleep(0.02)
            primary = self.primary()
            if primary and primary.is_running:
                await primary.replicate()
