//! The inventory: the services and backend servers that operators declare.

use crate::ini::{IniFault, IniSection};
use crate::{FailureDomain, InstanceName, ServerName, ServiceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SERVICE_KEYS: &str = "merge, coverage-target, layout";
const SERVER_KEYS: &str = "service, instance, failure-domain, address, slots, connections";
const MAX_SLOTS: u32 = 1_024;
const MAX_CONNECTIONS: u32 = 65_536;

/// The way in which the shards' answers are merged into one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MergeKind {
    /// A list of the shards' answers, ordered by shard.
    #[display("concat")]
    Concat,
    /// The sum of the shards' answers, each a whole number.
    #[display("sum")]
    Sum,
}

/// A service of the inventory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceEntry {
    /// The service's name.
    pub service: ServiceName,
    /// How the shards' answers are merged.
    pub merge: MergeKind,
    /// The coverage, 0 to 1, at which the newest snapshot is preferred.
    pub coverage_target: f64,
    /// The key of the layout object in the platform's store.
    pub layout: String,
}

/// A backend server of the inventory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendServer {
    /// The server's name.
    pub name: ServerName,
    /// The server's service.
    pub service: ServiceName,
    /// The instance of which it is a replica.
    pub instance: InstanceName,
    /// The server's failure domain.
    pub domain: FailureDomain,
    /// The server's listening address.
    pub address: SocketAddr,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of connections from all daemons together.
    pub connections: u32,
}

/// All services and backend servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TierInventory {
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, BackendServer>,
}

impl TierInventory {
    /// Adds the service of a `[service NAME]` section.
    pub(crate) fn add_service(
        &mut self,
        name: &str,
        mut section: IniSection,
        faults: &mut Vec<IniFault>,
    ) {
        let service = ServiceName::new(name);
        let merge: Option<String> = section.required("merge", "concat, sum", faults);
        let merge = match merge.as_deref() {
            Some("concat") => MergeKind::Concat,
            Some("sum") => MergeKind::Sum,
            Some(other) => {
                let problem = format!("`{other}` is not allowed; allowed: concat, sum");
                faults.push(section.fault_at("merge", &problem));
                return;
            }
            None => return,
        };
        let coverage_target = section
            .number_within("coverage-target", 0.0..=1.0, faults)
            .unwrap_or(1.0);
        let layout = section.required("layout", "an object key", faults);
        section.finish(SERVICE_KEYS, faults);
        let Some(layout) = layout else { return };
        let entry = ServiceEntry {
            service: service.clone(),
            merge,
            coverage_target,
            layout,
        };
        self.services.insert(service, entry);
    }

    /// Adds the backend server of a `[server NAME]` section.
    pub(crate) fn add_server(
        &mut self,
        name: &str,
        mut section: IniSection,
        faults: &mut Vec<IniFault>,
    ) {
        let service: Option<String> = section.required("service", "a service's name", faults);
        let instance: Option<String> = section.required("instance", "a name", faults);
        let domain: Option<String> = section.required("failure-domain", "a name", faults);
        let address = section.required("address", "an IP address and port", faults);
        let slots = required_count(&mut section, "slots", MAX_SLOTS, faults);
        let connections = required_count(&mut section, "connections", MAX_CONNECTIONS, faults);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            faults.push(section.fault_at("connections", "must not be below slots"));
        }
        section.finish(SERVER_KEYS, faults);
        let (Some(service), Some(instance), Some(domain)) = (service, instance, domain) else {
            return;
        };
        let (Some(address), Some(slots), Some(connections)) = (address, slots, connections) else {
            return;
        };
        let server = BackendServer {
            name: ServerName::new(name),
            service: ServiceName::new(&service),
            instance: InstanceName::new(&instance),
            domain: FailureDomain::new(&domain),
            address,
            slots,
            connections,
        };
        self.servers.insert(server.name.clone(), server);
    }
}

fn required_count(
    section: &mut IniSection,
    key: &str,
    max: u32,
    faults: &mut Vec<IniFault>,
) -> Option<u32> {
    let allowed = format!("a whole number from 1 to {max}");
    let count: u32 = section.required(key, &allowed, faults)?;
    if (1..=max).contains(&count) {
        return Some(count);
    }
    let problem = format!("{count} is out of range; allowed: {allowed}");
    faults.push(section.fault_at(key, &problem));
    None
}
