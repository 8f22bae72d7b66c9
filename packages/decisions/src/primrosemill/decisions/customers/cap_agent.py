"""Decides on one VM which requests of customers with a cap are admitted.

Does no I/O: requests, messages, views of the fleet and the time go in, and
verdicts and messages to send come out. Times are in seconds of a clock that
counts the time for which the machine was suspended.
"""

import enum
import random
import typing

from primrosemill.configuration import document as documents

from primrosemill.decisions.customers import cap_authority
from primrosemill.decisions.customers import cap_bucket
from primrosemill.decisions.customers import cap_holder
from primrosemill.decisions.customers import cap_messages
from primrosemill.decisions.customers import cap_wallet
from primrosemill.decisions.customers import caps

# Seconds between two steps after which this process counts as paused. The
# others take over no sooner than 1.6 s after they heard of it last.
PAUSE_THRESHOLD = 1.0
# Requests for tokens wait this long for others to the same holder.
BATCH_TIME = 0.003  # seconds, while callers wait
LAZY_BATCH_TIME = 0.03  # seconds, if only tokens in advance are wanted
LOAN_BATCH_TIME = 0.15  # seconds, if only a used loan is told
# After silence of a holder, one request for tokens is sent in this time, and
# callers wait for no answer.
SILENT_TIME = 0.25  # seconds
VOUCH_INTERVAL = 0.25  # seconds between requests to vouch for one slot
UNAVAILABLE_RETRY_AFTER = 0.4  # seconds, on average
SWEEP_SIZE = 3  # wallets checked for idle ones per request
MAX_RETRIES = 1  # next VMs that are asked if the first is no holder


class Source(enum.StrEnum):
    """By what a request was admitted."""

    TOKEN = "token"  # A token that the VM held.
    LOAN = "loan"  # A token that the holder had lent.
    HOLDER = "holder"  # A token of a bucket on this VM.
    ANSWER = "answer"  # A token for which the request waited.
    FALLBACK = "fallback"  # Without a token so far.


class Admitted(typing.NamedTuple):
    """A request may run."""

    source: Source


class CapReached(typing.NamedTuple):
    """A customer has used its cap; ``retry_after`` is in seconds."""

    retry_after: float


class Unavailable(typing.NamedTuple):
    """No holder answers and the fallback is used up."""

    retry_after: float


class Waiting(typing.NamedTuple):
    """A request waits for an answer; its verdict comes under this number."""

    number: int


Verdict = Admitted | CapReached | Unavailable | Waiting


class _Draft:
    """What is asked for one customer, and who waits for it."""

    def __init__(self, retries: int = 0) -> None:
        self.waiting_numbers: list[int] = []
        self.fallback_uses: list[float] = []
        self.ahead = 0
        self.retries = retries
        self.asked = 0  # tokens, once the request was sent

    def count_wanted(self) -> int:
        """Return the number of tokens to ask for."""
        return len(self.waiting_numbers) + len(self.fallback_uses) + self.ahead


class _Batch:
    """What will be asked of one VM next."""

    def __init__(self) -> None:
        self.due_at = float("inf")
        self.drafts_by_id: dict[int, _Draft] = {}
        self.slots: set[int] = set()


class _Pending(typing.NamedTuple):
    """A request that was sent and not answered yet."""

    vm_id: str
    sent_at: float
    drafts_by_id: dict[int, _Draft]


class CapAgent:
    """The caps of customers as one VM applies them."""

    def __init__(
        self,
        vm_id: str,
        bound: caps.Bound,
        generator: random.Random,
        now: float,
    ) -> None:
        self._vm_id = vm_id
        self._bound = bound
        self._generator = generator
        self.authority = cap_authority.Authority(vm_id, now)
        self.holder = cap_holder.CapHolder(self.authority, bound)
        self._customers_by_id: dict[int, documents.Customer] = {}
        self._ids_by_name: dict[str, int] = {}
        self._wallets_by_id: dict[int, cap_wallet.Wallet] = {}
        self._batches_by_vm: dict[str, _Batch] = {}
        self._pending_by_nonce: dict[int, _Pending] = {}
        self._late_by_nonce: dict[int, _Pending] = {}
        self._silent_until_by_vm: dict[str, float] = {}
        self._vouch_at_by_slot: dict[int, float] = {}
        self._settled: list[tuple[int, Verdict]] = []
        self._number = 0
        self._nonce = generator.getrandbits(48)
        self._stepped_at = now
        self._sweep: typing.Iterator[int] = iter(())
        self.pause_count = 0

    @property
    def has_caps(self) -> bool:
        """Return whether any customer has a cap."""
        return bool(self._customers_by_id)

    def set_customers(
        self, customers: typing.Iterable[documents.Customer]
    ) -> None:
        """Set the customers; only those with a rate have a cap."""
        self._customers_by_id = {
            caps.customer_id(each.name): each
            for each in customers
            if each.rate > 0.0
        }
        self._ids_by_name = {
            each.name: identifier
            for identifier, each in self._customers_by_id.items()
        }
        self.holder.drop_others(self._customers_by_id)

    def set_view(self, view: cap_authority.View, now: float) -> None:
        """Set the view of the fleet."""
        self.step(now)
        if view == self.authority.view:
            return
        self.authority.set_view(view, now)
        self.holder.drop_lost(self._vm_id)

    def step(self, now: float) -> None:
        """Note the time; after a pause, start anew.

        Must be called several times a second.
        """
        elapsed = now - self._stepped_at
        self._stepped_at = max(now, self._stepped_at)
        if elapsed > PAUSE_THRESHOLD:
            self.pause_count += 1
            self.authority.restart(now)
            self.holder.clear()
            self._pending_by_nonce, lost = {}, self._pending_by_nonce
            self._late_by_nonce.clear()
            for pending in lost.values():
                self._give_up(pending, now)

    def acquire(self, customer: documents.Customer, now: float) -> Verdict:
        """Decide on a request of a customer."""
        self.step(now)
        identifier = self._ids_by_name.get(customer.name)
        if identifier is None:
            return Admitted(Source.TOKEN)
        customer = self._customers_by_id[identifier]
        wallet = self._wallet(identifier, now)
        wallet.count_arrival(now)
        self._sweep_idle(now)
        slot = caps.slot_of(identifier)
        self._seek_vouch(slot, now)
        if wallet.take_token(now):
            self._ask_ahead(identifier, wallet, now)
            return Admitted(Source.TOKEN)
        if self.authority.holder(slot) == self._vm_id:
            return self._take_own(identifier, customer, wallet, now)
        if wallet.take_loan(now):
            self._replace_loan(identifier, wallet, now)
            return Admitted(Source.LOAN)
        share = self._fallback_share(identifier, customer, now)
        if wallet.use_fallback(share, now):
            self._repay_fallback(identifier, wallet, now)
            return Admitted(Source.FALLBACK)
        if now < wallet.paused_until:
            return CapReached(self._turn(wallet, now))
        return self._wait_for_token(identifier, wallet, now)

    def _replace_loan(
        self, identifier: int, wallet: cap_wallet.Wallet, now: float
    ) -> None:
        """Tell the holder that a loan was used, and ask for another."""
        holder_id = self.authority.holder(caps.slot_of(identifier))
        delay = LAZY_BATCH_TIME
        if wallet.loan_count(now):
            delay = LOAN_BATCH_TIME
        self._draft(holder_id, identifier, now, delay)

    def _repay_fallback(
        self, identifier: int, wallet: cap_wallet.Wallet, now: float
    ) -> None:
        """Ask for a token for a request that was admitted without one."""
        if now < wallet.paused_until:
            return
        holder_id = self.authority.holder(caps.slot_of(identifier))
        draft = self._draft(holder_id, identifier, now, LAZY_BATCH_TIME)
        if draft is not None:
            draft.fallback_uses.append(now)
            self._add_ahead(draft, wallet, now)

    def _wait_for_token(
        self, identifier: int, wallet: cap_wallet.Wallet, now: float
    ) -> Verdict:
        """Ask for a token; refuse at once if the holder is silent."""
        holder_id = self.authority.holder(caps.slot_of(identifier))
        draft = self._draft(holder_id, identifier, now, BATCH_TIME)
        if draft is None:
            return self._unavailable()
        self._number += 1
        draft.waiting_numbers.append(self._number)
        self._add_ahead(draft, wallet, now)
        return Waiting(self._number)

    def give_back(
        self, customer: documents.Customer, age: float, now: float
    ) -> None:
        """Take back the token of a refused request that did not run.

        ``age`` is the time in seconds since the request was admitted. Its
        token must not stay in use for longer with that of a later request.
        """
        if age >= caps.TOKEN_LIFETIME:
            return
        identifier = self._ids_by_name.get(customer.name)
        wallet = self._wallets_by_id.get(identifier)
        if wallet is not None:
            wallet.give_back(now)

    def recent_customers(self) -> list[documents.Customer]:
        """Return the customers with recent requests or buckets here."""
        identifiers = {*self._wallets_by_id, *self.holder.identifiers()}
        return [
            self._customers_by_id[identifier]
            for identifier in sorted(identifiers)
            if identifier in self._customers_by_id
        ]

    def build_hello(self, vm_id: str, now: float) -> cap_messages.Request:
        """Return an empty request, which finds out what another VM does."""
        self._nonce += 1
        self._pending_by_nonce[self._nonce] = _Pending(vm_id, now, {})
        slots = ()
        if self.authority.is_fresh(now):
            slots = (cap_messages.FLEET_SLOT,)
        return cap_messages.Request(self._nonce, (), slots)

    def take_settled(self) -> list[tuple[int, Verdict]]:
        """Return the verdicts on requests that have waited."""
        settled, self._settled = self._settled, []
        return settled

    def next_due(self) -> float:
        """Return when :meth:`take_requests` has something to do."""
        due = min(
            (batch.due_at for batch in self._batches_by_vm.values()),
            default=float("inf"),
        )
        for pending in self._pending_by_nonce.values():
            # Requests were sent in the order in which they stand here.
            return min(due, pending.sent_at + caps.ANSWER_TIMEOUT)
        return due

    def take_requests(self, now: float) -> list[cap_messages.Outgoing]:
        """Return the requests that are due, and end waits without answer."""
        self.step(now)
        self._expire(now)
        outgoing = []
        for vm_id, batch in list(self._batches_by_vm.items()):
            if batch.due_at > now:
                continue
            del self._batches_by_vm[vm_id]
            drafts = list(batch.drafts_by_id.items())
            slots = sorted(batch.slots)
            size = cap_messages.MAX_ASKS
            for first in range(0, max(len(drafts), len(slots)), size):
                part = dict(drafts[first : first + size])
                self._nonce += 1
                self._pending_by_nonce[self._nonce] = _Pending(
                    vm_id, now, part
                )
                asks = tuple(
                    self._build_ask(identifier, draft, now)
                    for identifier, draft in part.items()
                )
                request = cap_messages.Request(
                    self._nonce, asks, tuple(slots[first : first + size])
                )
                outgoing.append(cap_messages.Outgoing(vm_id, request))
        return outgoing

    def _build_ask(
        self, identifier: int, draft: _Draft, now: float
    ) -> cap_messages.Ask:
        wallet = self._wallet(identifier, now)
        draft.asked = draft.count_wanted()
        used_loans, wallet.used_loans = wallet.used_loans, 0
        return cap_messages.Ask(
            identifier, draft.asked, used_loans, wallet.wanted_loans(now)
        )

    def answer_request(
        self, vm_id: str, request: cap_messages.Request, now: float
    ) -> cap_messages.Answer:
        """Return the answer to a request of another VM."""
        self.step(now)
        grants = []
        for ask in request.asks[: cap_messages.MAX_ASKS]:
            customer = self._customers_by_id.get(ask.customer_id)
            if customer is None or min(ask[1:]) < 0:
                grants.append(cap_messages.Grant(ask.customer_id, 0, 0, 0))
                continue
            self._seek_vouch(caps.slot_of(ask.customer_id), now)
            grants.append(self.holder.grant(customer, ask, now))
        vouches = []
        for slot in request.slots[: cap_messages.MAX_ASKS]:
            if slot == cap_messages.FLEET_SLOT:
                fresh = self.authority.is_fresh(now)
                vouches.append(cap_messages.Vouch(slot, int(fresh)))
                continue
            if not 0 <= slot < caps.SLOT_COUNT:
                continue
            fraction = self.authority.vouch(slot, vm_id, now)
            if fraction > 0.0:
                self.holder.drop_slot(slot)
            vouches.append(
                cap_messages.Vouch(slot, int(fraction * cap_messages.MILLI))
            )
        return cap_messages.Answer(
            request.nonce, tuple(grants), tuple(vouches)
        )

    def apply_answer(
        self, vm_id: str, answer: cap_messages.Answer, now: float
    ) -> None:
        """Apply the answer of another VM; each counts once."""
        self.step(now)
        pending = self._pending_by_nonce.get(answer.nonce)
        if pending is None:
            pending = self._late_by_nonce.get(answer.nonce)
        if pending is None or pending.vm_id != vm_id:
            return
        self._pending_by_nonce.pop(answer.nonce, None)
        self._late_by_nonce.pop(answer.nonce, None)
        self._silent_until_by_vm.pop(vm_id, None)
        for vouch in answer.vouches:
            if vouch.slot == cap_messages.FLEET_SLOT:
                if vouch.milli_fraction:
                    self.authority.record_fresh(vm_id)
                continue
            fraction = min(1.0, vouch.milli_fraction / cap_messages.MILLI)
            self.authority.accept_vouch(
                vouch.slot, fraction, pending.sent_at, now
            )
        drafts_by_id = pending.drafts_by_id
        for grant in answer.grants:
            draft = drafts_by_id.pop(grant.customer_id, None)
            if draft is not None:
                self._apply_grant(grant, draft, pending, now)
        self._give_up(pending, now)

    def _apply_grant(
        self,
        grant: cap_messages.Grant,
        draft: _Draft,
        pending: _Pending,
        now: float,
    ) -> None:
        identifier = grant.customer_id
        wallet = self._wallet(identifier, now)
        wallet.in_flight -= draft.ahead
        if grant.valid_ms == 0:
            self._ask_next(identifier, draft, now)
            return
        lapses_at = pending.sent_at + caps.TOKEN_LIFETIME
        granted = max(0, min(grant.granted, draft.asked))
        if granted < draft.asked:
            wallet.paused_until = now + grant.valid_ms / cap_messages.MILLI
            wallet.turn_at = now + grant.retry_after_ms / cap_messages.MILLI
        if now >= lapses_at:
            granted = 0
        for number in draft.waiting_numbers:
            if granted <= 0:
                verdict = CapReached(self._turn(wallet, now))
                self._settled.append((number, verdict))
                continue
            granted -= 1
            wallet.mark_used(lapses_at)
            self._settled.append((number, Admitted(Source.ANSWER)))
        for used_at in draft.fallback_uses:
            if granted <= 0 or now > used_at + caps.ANSWER_TIMEOUT:
                continue
            granted -= 1
            wallet.repay_fallback(used_at)
        wallet.add_tokens(granted, lapses_at)
        lent = min(max(0, grant.lent), cap_bucket.MAX_LOANS)
        wallet.add_loans(lent, pending.sent_at + caps.LOAN_LIFETIME)

    def _ask_next(self, identifier: int, draft: _Draft, now: float) -> None:
        """Ask the next VM in the order, as the first one does not hold."""
        next_id = self.authority.next_holder(caps.slot_of(identifier))
        if draft.retries >= MAX_RETRIES or next_id in ("", self._vm_id):
            self._refuse_waiting(identifier, draft, now)
            return
        retried = self._draft(next_id, identifier, now, BATCH_TIME)
        if retried is None:
            self._refuse_waiting(identifier, draft, now)
            return
        retried.retries = draft.retries + 1
        retried.waiting_numbers += draft.waiting_numbers

    def _give_up(self, pending: _Pending, now: float) -> None:
        """Decide without an answer on the requests that wait for one."""
        for identifier, draft in pending.drafts_by_id.items():
            self._wallet(identifier, now).in_flight -= draft.ahead
            draft.ahead = 0
            self._refuse_waiting(identifier, draft, now)

    def _refuse_waiting(
        self, identifier: int, draft: _Draft, now: float
    ) -> None:
        """Admit by the fallback, or refuse, requests without an answer."""
        numbers, draft.waiting_numbers = draft.waiting_numbers, []
        customer = self._customers_by_id.get(identifier)
        wallet = self._wallet(identifier, now)
        for number in numbers:
            verdict: Verdict = self._unavailable()
            if customer is None:
                verdict = Admitted(Source.TOKEN)
            elif wallet.use_fallback(
                self._fallback_share(identifier, customer, now), now
            ):
                verdict = Admitted(Source.FALLBACK)
            self._settled.append((number, verdict))

    def _expire(self, now: float) -> None:
        """End the waits for requests that were not answered in time."""
        for nonce, pending in list(self._pending_by_nonce.items()):
            if now < pending.sent_at + caps.ANSWER_TIMEOUT:
                break
            del self._pending_by_nonce[nonce]
            self._silent_until_by_vm[pending.vm_id] = now + SILENT_TIME
            for identifier, draft in pending.drafts_by_id.items():
                self._refuse_waiting(identifier, draft, now)
            # Tokens of a late answer may still be used, if not lapsed.
            self._late_by_nonce[nonce] = pending
        for nonce, pending in list(self._late_by_nonce.items()):
            if now < pending.sent_at + caps.TOKEN_LIFETIME:
                break
            del self._late_by_nonce[nonce]
            self._give_up(pending, now)

    def _take_own(
        self,
        identifier: int,
        customer: documents.Customer,
        wallet: cap_wallet.Wallet,
        now: float,
    ) -> Verdict:
        """Take a token of a bucket that this VM holds."""
        ask = cap_messages.Ask(identifier, 1)
        grant = self.holder.grant(customer, ask, now, from_peer=False)
        if grant.granted:
            wallet.mark_used(now + caps.TOKEN_LIFETIME)
            return Admitted(Source.HOLDER)
        share = self._fallback_share(identifier, customer, now)
        if grant.valid_ms == 0 or self._is_on_probation(identifier, now):
            if wallet.use_fallback(share, now):
                return Admitted(Source.FALLBACK)
            return self._unavailable()
        wallet.turn_at = now + grant.retry_after_ms / cap_messages.MILLI
        return CapReached(self._turn(wallet, now))

    def _is_on_probation(self, identifier: int, now: float) -> bool:
        slot = caps.slot_of(identifier)
        return self.authority.fraction(slot, now) <= caps.PROBATION

    def _seek_vouch(self, slot: int, now: float) -> None:
        """Ask another VM to vouch for a slot that this VM holds unsettled."""
        if now < self._vouch_at_by_slot.get(slot, now):
            return
        voucher_id = self.authority.voucher(slot, now)
        if voucher_id is None:
            return
        if len(self._vouch_at_by_slot) >= caps.SLOT_COUNT:
            self._vouch_at_by_slot.clear()
        self._vouch_at_by_slot[slot] = now + VOUCH_INTERVAL
        batch = self._batches_by_vm.setdefault(voucher_id, _Batch())
        batch.slots.add(slot)
        batch.due_at = min(batch.due_at, now + BATCH_TIME)

    def _ask_ahead(
        self, identifier: int, wallet: cap_wallet.Wallet, now: float
    ) -> None:
        if wallet.wanted_ahead(now) <= 0:
            return
        holder_id = self.authority.holder(caps.slot_of(identifier))
        if holder_id in ("", self._vm_id):
            return
        draft = self._draft(holder_id, identifier, now, LAZY_BATCH_TIME)
        if draft is not None:
            self._add_ahead(draft, wallet, now)

    def _add_ahead(
        self, draft: _Draft, wallet: cap_wallet.Wallet, now: float
    ) -> None:
        wanted = wallet.wanted_ahead(now)
        draft.ahead += wanted
        wallet.in_flight += wanted

    def _draft(
        self, vm_id: str, identifier: int, now: float, delay: float
    ) -> _Draft | None:
        """Return what will be asked of a VM for a customer.

        None if the VM is silent and was asked a short time ago.
        """
        if not vm_id:
            return None
        if now < self._silent_until_by_vm.get(vm_id, now):
            return None
        batch = self._batches_by_vm.setdefault(vm_id, _Batch())
        batch.due_at = min(batch.due_at, now + delay)
        return batch.drafts_by_id.setdefault(identifier, _Draft())

    def _fallback_share(
        self, identifier: int, customer: documents.Customer, now: float
    ) -> int:
        if not self.authority.has_settled(now):
            return 0
        view = self.authority.view
        if not view.is_size_known:
            return 0
        total = caps.divide(customer, self._bound).fallback
        return caps.fallback_share(
            total, identifier, view.position, view.fleet_count
        )

    def _turn(self, wallet: cap_wallet.Wallet, now: float) -> float:
        """Return a turn for a refused request, in seconds from now."""
        spread = self._generator.uniform(1.0, 1.5)
        return max(0.05, wallet.turn_at - now) * spread

    def _unavailable(self) -> Unavailable:
        spread = self._generator.uniform(0.5, 1.5)
        return Unavailable(UNAVAILABLE_RETRY_AFTER * spread)

    def _wallet(self, identifier: int, now: float) -> cap_wallet.Wallet:
        wallet = self._wallets_by_id.get(identifier)
        if wallet is None:
            wallet = cap_wallet.Wallet(self._bound.window, now)
            self._wallets_by_id[identifier] = wallet
        return wallet

    def _sweep_idle(self, now: float) -> None:
        """Drop idle wallets, a few at a time."""
        for _ in range(SWEEP_SIZE):
            identifier = next(self._sweep, None)
            if identifier is None:
                self._sweep = iter(list(self._wallets_by_id))
                return
            wallet = self._wallets_by_id.get(identifier)
            if wallet is not None and wallet.is_idle(now):
                del self._wallets_by_id[identifier]
