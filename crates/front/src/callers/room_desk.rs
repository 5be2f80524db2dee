//! Asks whether services have room for a request, before anything of it is sent.

use crate::calls::fan_out::RequestTerms;
use crate::servers::service_endpoints::WantedRoom;
use crate::servers::view::FrontView;
use camphorway_daemon::sync::lock;
use camphorway_model::{GatherRule, RequestRoute, ServiceName};
use camphorway_policy::{FairRoom, RoomDraw, RoomRefusal, RoomRequest, ServiceRoom};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The services that a request calls.
#[derive(Clone, Debug)]
pub struct RequestTarget {
    /// The service to call for each part.
    pub services: Vec<ServiceName>,
    /// The rule by which the parts are merged; `None` for a single part.
    pub gather: Option<GatherRule>,
}

impl RequestTarget {
    /// The number of services that must answer.
    fn min_services(&self) -> usize {
        let parts = self.services.len();
        self.gather.as_ref().map_or(parts, GatherRule::min_parts)
    }
}

/// What decides whether there is room for a request.
#[derive(Clone, Copy, Debug)]
pub struct DeskRequest<'request> {
    /// The route.
    pub route: &'request RequestRoute,
    /// The rank and the workspace.
    pub terms: &'request RequestTerms,
    /// The services that it calls.
    pub target: &'request RequestTarget,
    /// The time until the answer is useless.
    pub time_left: Duration,
}

/// Shares the room of services that have too little.
#[derive(Debug, Default)]
pub struct RoomDesk {
    room: Mutex<FairRoom>,
}

impl RoomDesk {
    /// Decides on a request by what `view` shows of its servers.
    ///
    /// # Errors
    /// Returns why it is refused.
    pub fn admit(
        &self,
        request: &DeskRequest<'_>,
        view: &FrontView,
        now: Instant,
    ) -> Result<(), RoomRefusal> {
        let DeskRequest {
            route,
            terms,
            target,
            time_left,
        } = *request;
        let wanted = WantedRoom {
            priority: terms.priority,
            objective: route.objective,
            homes: terms.homes(route),
        };
        let room_of = |service| match view.services.get(service) {
            Some(endpoints) => endpoints.room(&wanted, now),
            None => ServiceRoom::new(route.objective),
        };
        let rooms: Vec<_> = target
            .services
            .iter()
            .map(|service| (service, room_of(service)))
            .collect();
        let workspace = terms.workspace.as_ref();
        let request = RoomRequest {
            rank: terms.priority,
            workspace: workspace.map(|workspace| &workspace.name),
            homes: terms.homes(route),
            time_left,
            min_services: target.min_services(),
        };
        lock(&self.room).admit(&request, rooms, RoomDraw::random(), now)
    }
}
