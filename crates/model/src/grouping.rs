//! Groups of backend servers. A group is the unit of assignment to daemons. All
//! replicas of an instance within a failure domain are in the same group, so
//! that its holder can choose among them.

use crate::{BackendServer, FailureDomain, InstanceName, ServiceName, TierInventory};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The identifier of a group.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service}/{domain}/{index}")]
pub struct GroupId {
    /// The service of all its backend servers.
    pub service: ServiceName,
    /// The failure domain of all its backend servers.
    pub domain: FailureDomain,
    /// The group's number within its service and domain.
    pub index: u32,
}

/// A group and its backend servers.
#[derive(Clone, Debug)]
pub struct ServerGroup {
    /// The group's identifier.
    pub id: GroupId,
    /// The backend servers by instance.
    pub servers: BTreeMap<InstanceName, Vec<BackendServer>>,
}

/// The groups of an inventory.
#[derive(Clone, Debug, Default)]
pub struct GroupTable {
    /// All groups by id.
    pub groups: BTreeMap<GroupId, ServerGroup>,
}

impl GroupTable {
    /// Divides `inventory` into groups of about `group_size` backend servers.
    ///
    /// An instance's group depends only on the instance's name and the number of
    /// groups, so adding a backend server rarely moves other servers.
    pub fn new(inventory: &TierInventory, group_size: u32) -> Self {
        let mut counts: BTreeMap<(ServiceName, FailureDomain), u32> = BTreeMap::new();
        for server in inventory.servers.values() {
            let key = (server.service.clone(), server.domain.clone());
            *counts.entry(key).or_default() += 1;
        }
        let mut groups = BTreeMap::new();
        for server in inventory.servers.values() {
            let key = (server.service.clone(), server.domain.clone());
            let count = counts[&key].div_ceil(group_size);
            let hash = xxh3_64(server.instance.as_str().as_bytes());
            let id = GroupId {
                service: key.0,
                domain: key.1,
                index: (hash % u64::from(count)) as u32,
            };
            let group = groups.entry(id.clone()).or_insert_with(|| ServerGroup {
                id,
                servers: BTreeMap::new(),
            });
            let replicas: &mut Vec<_> = group.servers.entry(server.instance.clone()).or_default();
            replicas.push(server.clone());
        }
        Self { groups }
    }

    /// The groups of `service` that have a replica of `instance`.
    pub fn with_replica<'table>(
        &'table self,
        service: &'table ServiceName,
        instance: &'table InstanceName,
    ) -> impl Iterator<Item = &'table ServerGroup> {
        self.groups
            .values()
            .filter(move |group| group.id.service == *service)
            .filter(move |group| group.servers.contains_key(instance))
    }
}
