//! Shapes of fleets, from which inventories and layouts are generated.

use serde_json::{Value, json};
use std::fmt::Write as _;

/// The shape of one service.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// The service's name.
    pub name: String,
    /// Number of instances.
    pub instances: usize,
    /// Replicas of each instance in each failure domain that has it.
    pub replicas: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Connection limit of each backend server.
    pub connections: u32,
    /// Number of shards of each instance.
    pub shards: usize,
    /// How answers are merged: the inventory's `merge` value.
    pub merge: &'static str,
}

/// The failure domains in which an instance has replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstancePlacement {
    /// Every failure domain.
    EveryDomain,
    /// One failure domain, in turn.
    OneDomain,
}

/// The shape of a fleet's inventory.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The placement of instances.
    pub placement: InstancePlacement,
    /// The failure domains.
    pub domains: Vec<String>,
    /// The services.
    pub services: Vec<ServiceShape>,
    /// Sections for ranks, rules and policy, as INI.
    pub rules: String,
}

impl FleetShape {
    /// One service of `instances` instances with one replica in each domain.
    pub fn simple(domains: usize, instances: usize) -> Self {
        Self {
            placement: InstancePlacement::EveryDomain,
            domains: (1..=domains)
                .map(|number| format!("domain-{number}"))
                .collect(),
            services: vec![ServiceShape {
                name: "portal".to_owned(),
                instances,
                replicas: 1,
                slots: 2,
                connections: 25,
                shards: 1,
                merge: "concat",
            }],
            rules: String::new(),
        }
    }

    /// Number of backend servers.
    pub fn server_count(&self) -> usize {
        let service_servers = |service: &ServiceShape| service.instances * service.replicas;
        let replica_count: usize = self.services.iter().map(service_servers).sum();
        match self.placement {
            InstancePlacement::EveryDomain => self.domains.len() * replica_count,
            InstancePlacement::OneDomain => replica_count,
        }
    }

    fn has_replicas(&self, domain: usize, instance: usize) -> bool {
        match self.placement {
            InstancePlacement::EveryDomain => true,
            InstancePlacement::OneDomain => instance % self.domains.len() == domain,
        }
    }

    /// Generates the inventory; `ports` has each server's port.
    ///
    /// # Panics
    /// Panics if `ports` has too few ports.
    pub fn inventory(&self, ports: &[u16]) -> String {
        let mut text = String::new();
        let mut ports = ports.iter();
        for service in &self.services {
            let _ = writeln!(
                text,
                "[service {0}]\nmerge = {1}\ncoverage-target = 0.99\nlayout = {0}\n",
                service.name, service.merge
            );
            for (index, domain) in self.domains.iter().enumerate() {
                let instances =
                    (0..service.instances).filter(|instance| self.has_replicas(index, *instance));
                for instance in instances {
                    for replica in 0..service.replicas {
                        let port = ports.next().expect("a port for each server");
                        let _ = writeln!(
                            text,
                            "[server {0}-{instance}-{domain}-{replica}]\nservice = {0}\ninstance = {instance}\n\
                             failure-domain = {domain}\naddress = 127.0.0.1:{port}\nslots = {1}\nconnections = {2}\n",
                            service.name, service.slots, service.connections
                        );
                    }
                }
            }
        }
        text.push_str(&self.rules);
        text
    }

    /// Generates the layout of a service for the given snapshots.
    pub fn layout(service: &ServiceShape, snapshots: &[u64]) -> Value {
        let shards: Vec<Value> = (0..service.instances * service.shards)
            .map(|shard| json!({ "shard": shard, "weight": 1.0, "instance": (shard / service.shards).to_string() }))
            .collect();
        let snapshots: Vec<Value> = snapshots
            .iter()
            .map(|snapshot| json!({ "snapshot": snapshot, "shards": shards }))
            .collect();
        json!({ "snapshots": snapshots })
    }
}
