//! The configuration as accepted: inventory and rules from all parts, checked
//! as a whole.

use crate::ini::{self, IniFault};
use crate::{Generation, RequestRank, ServiceName, TierInventory, TierRules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The object that accepts a configuration: whoever writes it by conditional
/// update has set the order of changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HeadObject {
    /// Grows by one with each change.
    pub generation: Generation,
    /// The writer's mark, by which it knows its own write after a lost answer.
    pub mark: String,
    /// The parts in force.
    pub parts: Vec<PartReference>,
}

/// One part of a configuration, by content.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PartReference {
    /// The part's name, such as `portal-ljubljana`.
    pub name: String,
    /// Hash of the text; the object's key ends with it, so a part never changes.
    pub hash: u64,
}

impl PartReference {
    /// The reference to a part with this name and text.
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

    /// Whether `text` is the text that was referred to.
    pub fn matches(&self, text: &str) -> bool {
        xxh3_64(text.as_bytes()) == self.hash
    }
}

/// Inventory and rules that passed every check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedConfiguration {
    /// What is declared.
    pub inventory: TierInventory,
    /// How requests are treated.
    pub rules: TierRules,
}

impl CheckedConfiguration {
    /// Parses all parts, given as file name and text, and checks them together.
    ///
    /// # Errors
    /// Returns every fault found, by file and line.
    pub fn parse(parts: &[(&str, &str)]) -> Result<Self, Vec<IniFault>> {
        let mut faults = Vec::new();
        let mut configuration = Self::default();
        let mut titles: BTreeMap<String, IniFault> = BTreeMap::new();
        for (file, text) in parts {
            for section in ini::parse(file, text, &mut faults) {
                let (kind, name) = section.title();
                let (kind, name) = (kind.to_owned(), name.to_owned());
                let place = section.fault_at("-", "");
                let title = format!("{kind} {name}");
                if let Some(first) = titles.insert(title, place)
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
                    "rule" => rules.add_request(&name, section, &mut faults),
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

    /// Checks what no single section shows.
    fn check_references(&self, places: &BTreeMap<String, IniFault>, faults: &mut Vec<IniFault>) {
        let mut report = |section: String, key: &str, problem: String| {
            let place = places.get(&section);
            faults.push(IniFault {
                file: place.map_or("-", |place| &place.file).to_owned(),
                line: place.map_or(0, |place| place.line),
                section,
                key: key.to_owned(),
                problem,
            });
        };
        let services = &self.inventory.services;
        let known = |service: &ServiceName| services.contains_key(service);
        let mut addresses = BTreeMap::new();
        for server in self.inventory.servers.values() {
            let section = format!("server {}", server.name);
            if !known(&server.service) {
                let problem = format!("`{}` is not a declared service", server.service);
                report(section.clone(), "service", problem);
            }
            let seats = self.rules.policy.seats;
            if seats > server.slots {
                let problem = format!(
                    "{} slots can't be divided among {seats} seats",
                    server.slots
                );
                report(section.clone(), "slots", problem);
            }
            if let Some(other) = addresses.insert(server.address, &server.name) {
                let problem = format!("{} is the address of {other} too", server.address);
                report(section, "address", problem);
            }
        }
        for rule in &self.rules.requests {
            if let Some(service) = &rule.service
                && !known(service)
            {
                let problem = format!("`{service}` is not a declared service");
                report(format!("rule {}", rule.name), "service", problem);
            }
        }
        let total: f64 = RequestRank::ALL
            .iter()
            .map(|rank| self.rules.ranks[*rank].share)
            .sum();
        if total > 1.0 {
            let problem = format!("shares add up to {total}; allowed: at most 1");
            let set = RequestRank::ALL.map(|rank| format!("rank {rank}"));
            let last = set.into_iter().rfind(|title| places.contains_key(title));
            report(last.unwrap_or_default(), "share", problem);
        }
    }
}
