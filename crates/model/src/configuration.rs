//! The accepted configuration: the inventory and rules of all parts, validated
//! together.

use crate::ini::{self, IniFault};
use crate::{Generation, RequestRank, ServiceName, TierInventory, TierRules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The object whose write accepts a configuration. It is written by conditional
/// update only, which puts all changes in a single order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HeadObject {
    /// The generation; each change increases it by one.
    pub generation: Generation,
    /// A unique mark, by which a writer recognizes its own write after a lost answer.
    pub mark: String,
    /// The parts in force.
    pub parts: Vec<PartReference>,
}

/// A reference to one part of a configuration, by content.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PartReference {
    /// The part's name, such as `portal-ljubljana`.
    pub name: String,
    /// Hash of the text. The object's key ends with it, so a stored part never changes.
    pub hash: u64,
}

impl PartReference {
    /// Creates the reference to a part with this name and text.
    pub fn for_text(name: &str, text: &str) -> Self {
        Self {
            name: name.to_owned(),
            hash: xxh3_64(text.as_bytes()),
        }
    }

    /// The key of the part's object in the platform's store.
    pub fn object_key(&self) -> String {
        format!("config/parts/{}-{:016x}", self.name, self.hash)
    }

    /// Whether `text` has the referenced hash.
    pub fn matches(&self, text: &str) -> bool {
        xxh3_64(text.as_bytes()) == self.hash
    }
}

/// Inventory and rules that passed validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedConfiguration {
    /// The declared services and backend servers.
    pub inventory: TierInventory,
    /// The rules for requests and ranks.
    pub rules: TierRules,
}

impl CheckedConfiguration {
    /// Parses all parts, given as file name and text, and validates them together.
    ///
    /// # Errors
    /// Returns all faults, ordered by file and line.
    pub fn parse(parts: &[(&str, &str)]) -> Result<Self, Vec<IniFault>> {
        let mut faults = Vec::new();
        let mut configuration = Self::default();
        let mut titles: BTreeMap<String, IniFault> = BTreeMap::new();
        for (file, text) in parts {
            for section in ini::parse(file, text, &mut faults) {
                let (kind, name) = section.title();
                let (kind, name) = (kind.to_owned(), name.to_owned());
                let location = section.fault_at("-", "");
                let title = format!("{kind} {name}");
                if let Some(first) = titles.insert(title, location)
                    && first.file != *file
                {
                    let problem = format!("section is repeated, first in {}", first.file);
                    faults.push(section.fault_at("-", &problem));
                }
                if name.is_empty() != (kind == "policy") {
                    let problem = "allowed: [service NAME], [server NAME], [rank NAME], \
                                   [rule NAME], [policy]";
                    faults.push(section.fault_at("-", problem));
                    continue;
                }
                let inventory = &mut configuration.inventory;
                let rules = &mut configuration.rules;
                match kind.as_str() {
                    "service" => inventory.add_service(&name, section, &mut faults),
                    "server" => inventory.add_server(&name, section, &mut faults),
                    "rank" => rules.set_rank(&name, section, &mut faults),
                    "rule" => rules.add_rule(&name, section, &mut faults),
                    "policy" => rules.set_policy(section, &mut faults),
                    _ => faults.push(section.fault_at(
                        "-",
                        "unknown section; allowed: service, server, rank, rule, policy",
                    )),
                }
            }
        }
        configuration.check_references(&titles, &mut faults);
        if faults.is_empty() {
            Ok(configuration)
        } else {
            faults.sort_by(|left, right| (&left.file, left.line).cmp(&(&right.file, right.line)));
            Err(faults)
        }
    }

    /// Validates constraints that span several sections.
    fn check_references(&self, locations: &BTreeMap<String, IniFault>, faults: &mut Vec<IniFault>) {
        let mut add_fault = |section: String, key: &str, problem: String| {
            let location = locations.get(&section);
            faults.push(IniFault {
                file: location.map_or("-", |location| &location.file).to_owned(),
                line: location.map_or(0, |location| location.line),
                section,
                key: key.to_owned(),
                problem,
            });
        };
        let services = &self.inventory.services;
        let is_declared = |service: &ServiceName| services.contains_key(service);
        let mut addresses = BTreeMap::new();
        for server in self.inventory.servers.values() {
            let section = format!("server {}", server.name);
            if !is_declared(&server.service) {
                let problem = format!("`{}` is not a declared service", server.service);
                add_fault(section.clone(), "service", problem);
            }
            let seats = self.rules.policy.seats;
            if seats > server.slots {
                let problem = format!(
                    "{} slots can't be divided among {seats} seats",
                    server.slots
                );
                add_fault(section.clone(), "slots", problem);
            }
            if let Some(other) = addresses.insert(server.address, &server.name) {
                let problem = format!("{} is the address of {other} too", server.address);
                add_fault(section, "address", problem);
            }
        }
        for rule in &self.rules.requests {
            if let Some(service) = &rule.service
                && !is_declared(service)
            {
                let problem = format!("`{service}` is not a declared service");
                add_fault(format!("rule {}", rule.name), "service", problem);
            }
        }
        let total: f64 = RequestRank::ALL
            .iter()
            .map(|rank| self.rules.ranks[*rank].share)
            .sum();
        if total > 1.0 {
            let problem = format!("shares add up to {total}; allowed: at most 1");
            let set = RequestRank::ALL.map(|rank| format!("rank {rank}"));
            let last = set.into_iter().rfind(|title| locations.contains_key(title));
            add_fault(last.unwrap_or_default(), "share", problem);
        }
    }
}
