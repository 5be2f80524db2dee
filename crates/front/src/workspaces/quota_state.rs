//! What one front knows of one workspace's quota.

use camphorway_policy::{
    CreditDecision, GrantorRole, LocalCredit, OwnershipReply, QuotaLedger, QuotaParts, QuotaPlace,
    QuotaSuccession, SuccessionState,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a request's front does for its credit.
#[derive(Clone, Debug)]
pub enum CreditStep {
    /// The request is decided here.
    Decided(CreditDecision),
    /// The request runs on this front's own part; the grantors are asked afterwards.
    ConfirmAt(Vec<SocketAddr>),
    /// The grantors are asked first, in this order.
    AskAt(Vec<SocketAddr>),
}

/// One front's state for one workspace.
#[derive(Debug)]
pub struct QuotaState {
    place: QuotaPlace,
    /// The time at which this front's role last changed.
    role_since: Instant,
    /// Who may own the quota still.
    succession: QuotaSuccession,
    ledger: QuotaLedger,
    local: LocalCredit,
}

impl QuotaState {
    /// The state of a front at `place`.
    pub fn new(place: QuotaPlace, parts: &QuotaParts, now: Instant) -> Self {
        let mut ledger = QuotaLedger::new(now);
        ledger.set_role(place.role, parts, now);
        Self {
            succession: QuotaSuccession::new(&place),
            place,
            role_since: now,
            ledger,
            local: LocalCredit::new(now),
        }
    }

    /// Sets this front's place among the others.
    pub fn set_place(&mut self, place: QuotaPlace, parts: &QuotaParts, now: Instant) {
        if place.role != self.place.role {
            self.role_since = now;
        }
        self.succession.follow(&self.place, &place);
        self.ledger.set_role(place.role, parts, now);
        self.place = place;
    }

    /// The first step for the credit of a caller's request.
    pub fn begin(&mut self, parts: &QuotaParts, now: Instant) -> CreditStep {
        if self.place.role == Some(GrantorRole::Owner)
            && let Some(decision) = self.ledger.decide(parts, now)
        {
            return CreditStep::Decided(decision);
        }
        let grantors = [&self.place.owner, &self.place.deputy];
        let grantors = grantors.into_iter().flatten();
        let addresses = grantors.map(|front| front.address).collect();
        let part = parts.local_part(self.place.local_rank, self.place.fronts);
        if self.local.take(part, parts, now) {
            return CreditStep::ConfirmAt(addresses);
        }
        CreditStep::AskAt(addresses)
    }

    /// Grants or refuses a request's credit, for a peer or in place of an owner that was
    /// not reached; `None` if other fronts answer for the workspace.
    pub fn grant(&mut self, parts: &QuotaParts, now: Instant) -> Option<CreditDecision> {
        self.ledger.decide(parts, now)
    }

    /// Records that a request that ran on this front's own part was granted.
    pub fn confirm(&mut self) {
        self.local.restore();
    }

    /// The time after which this front's own part is free again.
    pub fn frees_after(&self, parts: &QuotaParts, now: Instant) -> Option<Duration> {
        self.local.frees_after(parts, now)
    }

    /// The front to be asked whether it still owns the quota that this one has just come
    /// to own.
    pub fn predecessor_to_ask(&self, now: Instant) -> Option<SocketAddr> {
        let is_owner = self.place.role == Some(GrantorRole::Owner);
        let predecessor = self.succession.next_to_ask();
        predecessor.filter(|_| is_owner && self.ledger.is_shared(now))
    }

    /// Records the reply of `predecessor`, unless this front's place has changed since it
    /// was asked.
    pub fn record_ownership(
        &mut self,
        predecessor: SocketAddr,
        reply: OwnershipReply,
        now: Instant,
    ) -> Option<SuccessionState> {
        if self.predecessor_to_ask(now) != Some(predecessor) {
            return None;
        }
        let state = self.succession.record(reply);
        if state == SuccessionState::Settled {
            self.ledger.confirm(now);
        }
        Some(state)
    }

    /// Requests that this front could grant as the owner when it last decided.
    pub fn credit(&self) -> f64 {
        self.ledger.credit()
    }

    /// Since when this front has owned the quota, if it does.
    pub fn owned_since(&self) -> Option<Instant> {
        let is_owner = self.place.role == Some(GrantorRole::Owner);
        is_owner.then_some(self.role_since)
    }
}
