//! The services of a configuration.

use super::{ConfigurationCheck, FindingKind};
use camphorway_model::{DraftPlace, RoutedService, ServiceName, ServicePart};

impl ConfigurationCheck<'_> {
    pub(super) fn check_services(&mut self) {
        let draft = self.draft;
        for (index, (name, service)) in draft.services.iter().enumerate() {
            let is_in_force = self.services.get(name);
            if !is_in_force.is_some_and(|in_force| std::ptr::eq(*in_force, service)) {
                let place = DraftPlace::Service(index, ServicePart::Name);
                self.report(place, FindingKind::ServiceReplaced(name.clone()));
            }
            self.check_connections(index, name, service);
        }
    }

    fn check_connections(&mut self, index: usize, name: &ServiceName, service: &RoutedService) {
        let place = DraftPlace::Service(index, ServicePart::Connections);
        let connections = service.max_connections;
        if connections == 0 {
            self.report(place, FindingKind::NoConnections);
            return;
        }
        let servers = self.servers_of(name).unwrap_or_default();
        let most_slots = servers.iter().map(|server| server.slots).max();
        if let Some(slots) = most_slots.filter(|slots| *slots as usize > connections) {
            self.report(
                place,
                FindingKind::ConnectionsBelowSlots { connections, slots },
            );
        }
    }
}
