//! The JSON dump of the control thread's state, for operators.

use crate::control::ControlLoop;
use serde_json::{Value, json};

impl ControlLoop<'_> {
    /// The control thread's state as JSON.
    pub(super) fn dump(&self) -> Value {
        let view = self.context.view.load();
        let members: Vec<Value> = self
            .context
            .members
            .records()
            .map(|member| {
                json!({
                    "vm": member.vm,
                    "failure-domain": member.domain,
                    "address": member.address,
                    "incarnation": member.incarnation,
                    "state": member.state,
                })
            })
            .collect();
        let groups: Vec<Value> = view
            .groups
            .groups
            .values()
            .map(|group| {
                let seats = view.seats.get(&group.id);
                let names = |holders: &[camphorway_gossip::holders::SeatHolder]| -> Vec<String> {
                    holders.iter().map(|holder| holder.vm.to_string()).collect()
                };
                json!({
                    "group": group.id.to_string(),
                    "servers": group.servers.values().flatten().map(|server| server.name.to_string()).collect::<Vec<_>>(),
                    "seats": seats.map(|seats| names(&seats.seats)),
                    "standbys": seats.map(|seats| names(&seats.standbys)),
                })
            })
            .collect();
        let refused = self.tracker.refused().map(|(generation, faults)| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            json!({ "generation": generation, "faults": faults })
        });
        let layouts: Vec<Value> = view
            .services
            .values()
            .map(|service| {
                let snapshots: Vec<u64> = service
                    .layout
                    .snapshots
                    .iter()
                    .map(|layout| layout.snapshot.0)
                    .collect();
                json!({ "service": service.entry.service, "snapshots": snapshots })
            })
            .collect();
        let items: Vec<Value> = self
            .items
            .versions()
            .iter()
            .map(|item| json!({ "key": item.key, "version": item.version }))
            .collect();
        json!({
            "vm": view.own,
            "failure-domain": view.domain,
            "generation": view.generation,
            "refused-generation": refused,
            "is-watcher": view.is_watcher,
            "members": members,
            "groups": groups,
            "services": layouts,
            "items": items,
            "draining-servers": view.draining.keys().map(ToString::to_string).collect::<Vec<_>>(),
            "leaving-servers": view.leaving.iter().map(ToString::to_string).collect::<Vec<_>>(),
        })
    }
}
