//! The rules: how requests are ranked, the guarantees of each rank, and the
//! policies that are switched on.

use crate::ini::{IniFault, IniSection};
use crate::{CallerName, PerRank, RequestRank, ServiceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::ops::RangeInclusive;
use std::time::Duration;

const DEADLINES: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(600);
const RETENTIONS: RangeInclusive<Duration> = Duration::from_secs(60)..=Duration::from_secs(604_800);
const RANK_KEYS: &str = "share, deadline-ms, deadline-s, max-refused";
const RULE_KEYS: &str = "service, caller, kind, rank, idempotent, canary";
const POLICY_KEYS: &str = "ranked-queues, early-refusal, hedging, hedge-budget, retry-budget, \
                           newest-snapshot, group-size, seats, claim-retention-ms, \
                           claim-retention-s, preempt";
const DEFAULT_CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);
const DEFAULT_SHARE: [f64; 3] = [0.5, 0.3, 0.1];
const DEFAULT_DEADLINE: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(10),
];

/// When a fan-out is tried on one backend server before the others are queried.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CanaryMode {
    /// For all content that has not recently succeeded.
    #[display("always")]
    Always,
    /// Only for content that is suspect after a crash.
    #[display("suspects")]
    Suspects,
    /// For no content.
    #[display("never")]
    Never,
}

impl CanaryMode {
    fn parse(text: &str) -> Option<Self> {
        [Self::Always, Self::Suspects, Self::Never]
            .into_iter()
            .find(|mode| mode.to_string() == text)
    }
}

/// The guarantees of one rank.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankRule {
    /// The guaranteed fraction of each backend server's time, 0 to 1.
    pub share: f64,
    /// The deadline of a request that does not specify one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Maximum fraction of requests that should be refused, 0 to 1.
    pub max_refused: f64,
}

/// One rule. The first rule whose conditions all match applies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestRule {
    /// The rule's name, for `explain` and logs.
    pub name: String,
    /// Condition: the requested service.
    pub service: Option<ServiceName>,
    /// Condition: the caller.
    pub caller: Option<CallerName>,
    /// Condition: the request's `camphorway-kind` header.
    pub kind: Option<String>,
    /// The rank that the rule assigns.
    pub rank: RequestRank,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// When a canary precedes the fan-out.
    pub canary: CanaryMode,
}

/// The active policies and their budgets.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is one key of the policy section"
)]
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicySwitches {
    /// Orders queues by rank, kind and deadline instead of by arrival.
    pub ranked_queues: bool,
    /// Refuses requests at the entry that would be late given the reported queue waits.
    pub early_refusal: bool,
    /// Repeats a slow call on another replica.
    pub hedging: bool,
    /// Number of hedged calls allowed per first call, 0 to 1.
    pub hedge_budget: f64,
    /// Number of retried calls allowed per first call, 0 to 1.
    pub retry_budget: f64,
    /// Always queries the newest snapshot, whatever its coverage.
    pub newest_snapshot: bool,
    /// Allows an urgent call to cancel a running bulk call.
    pub preempt: bool,
    /// The target number of backend servers per group.
    pub group_size: u32,
    /// Number of daemons that hold a group at once.
    pub seats: u32,
    /// Retention of records of requests that run at most once.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    pub claim_retention: Duration,
}

impl Default for PolicySwitches {
    fn default() -> Self {
        Self {
            ranked_queues: true,
            early_refusal: true,
            hedging: true,
            hedge_budget: 0.05,
            retry_budget: 0.1,
            newest_snapshot: false,
            preempt: true,
            group_size: 36,
            seats: 1,
            claim_retention: DEFAULT_CLAIM_RETENTION,
        }
    }
}

/// All rules.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TierRules {
    /// The guarantees of each rank.
    pub ranks: PerRank<RankRule>,
    /// The request rules, in file order.
    pub requests: Vec<RequestRule>,
    /// The policy switches.
    pub policy: PolicySwitches,
}

impl Default for TierRules {
    fn default() -> Self {
        let rule = |rank: usize| RankRule {
            share: DEFAULT_SHARE[rank],
            deadline: DEFAULT_DEADLINE[rank],
            max_refused: 1.0,
        };
        Self {
            ranks: PerRank([rule(0), rule(1), rule(2)]),
            requests: Vec::new(),
            policy: PolicySwitches::default(),
        }
    }
}

impl TierRules {
    /// The rule that applies to a request. Without one, the defaults apply: normal
    /// rank, idempotent, canary for suspects.
    pub fn find(
        &self,
        service: &ServiceName,
        caller: &CallerName,
        kind: Option<&str>,
    ) -> Option<&RequestRule> {
        self.requests.iter().find(|rule| {
            rule.service.as_ref().is_none_or(|name| name == service)
                && rule.caller.as_ref().is_none_or(|name| name == caller)
                && rule.kind.as_deref().is_none_or(|name| Some(name) == kind)
        })
    }

    /// Applies a `[rank NAME]` section.
    pub(crate) fn set_rank(
        &mut self,
        name: &str,
        mut section: IniSection,
        faults: &mut Vec<IniFault>,
    ) {
        let Some(rank) = RequestRank::parse(name) else {
            faults.push(section.fault_at("-", "unknown rank; allowed: urgent, normal, bulk"));
            return;
        };
        let rule = &mut self.ranks[rank];
        if let Some(share) = section.number_within("share", 0.0..=1.0, faults) {
            rule.share = share;
        }
        if let Some(deadline) = section.duration_within("deadline", DEADLINES, faults) {
            rule.deadline = deadline;
        }
        if let Some(refused) = section.number_within("max-refused", 0.0..=1.0, faults) {
            rule.max_refused = refused;
        }
        section.finish(RANK_KEYS, faults);
    }

    /// Adds the rule of a `[rule NAME]` section.
    pub(crate) fn add_rule(
        &mut self,
        name: &str,
        mut section: IniSection,
        faults: &mut Vec<IniFault>,
    ) {
        let service: Option<String> = section.optional("service", "a service's name", faults);
        let caller: Option<String> = section.optional("caller", "a caller's name", faults);
        let kind = section.optional("kind", "a text", faults);
        let rank: Option<String> = section.required("rank", "urgent, normal, bulk", faults);
        let rank = rank.and_then(|text| {
            let rank = RequestRank::parse(&text);
            if rank.is_none() {
                let problem = format!("`{text}` is not allowed; allowed: urgent, normal, bulk");
                faults.push(section.fault_at("rank", &problem));
            }
            rank
        });
        let idempotent = section.switch("idempotent", faults).unwrap_or(true);
        let canary: Option<String> = section.optional("canary", "always, suspects, never", faults);
        let canary = canary.map_or(Some(CanaryMode::Suspects), |text| CanaryMode::parse(&text));
        if canary.is_none() {
            faults.push(section.fault_at("canary", "allowed: always, suspects, never"));
        }
        section.finish(RULE_KEYS, faults);
        let (Some(rank), Some(canary)) = (rank, canary) else {
            return;
        };
        self.requests.push(RequestRule {
            name: name.to_owned(),
            service: service.as_deref().map(ServiceName::new),
            caller: caller.as_deref().map(CallerName::new),
            kind,
            rank,
            idempotent,
            canary,
        });
    }

    /// Applies the `[policy]` section.
    pub(crate) fn set_policy(&mut self, mut section: IniSection, faults: &mut Vec<IniFault>) {
        let policy = &mut self.policy;
        let switches = [
            ("ranked-queues", &mut policy.ranked_queues),
            ("early-refusal", &mut policy.early_refusal),
            ("hedging", &mut policy.hedging),
            ("newest-snapshot", &mut policy.newest_snapshot),
            ("preempt", &mut policy.preempt),
        ];
        for (key, target) in switches {
            if let Some(value) = section.switch(key, faults) {
                *target = value;
            }
        }
        let budgets = [
            ("hedge-budget", &mut policy.hedge_budget),
            ("retry-budget", &mut policy.retry_budget),
        ];
        for (key, target) in budgets {
            if let Some(value) = section.number_within(key, 0.0..=1.0, faults) {
                *target = value;
            }
        }
        if let Some(size) = section.count_within("group-size", 1..=1_024, faults) {
            policy.group_size = size;
        }
        if let Some(seats) = section.count_within("seats", 1..=64, faults) {
            policy.seats = seats;
        }
        if let Some(time) = section.duration_within("claim-retention", RETENTIONS, faults) {
            policy.claim_retention = time;
        }
        section.finish(POLICY_KEYS, faults);
    }
}
