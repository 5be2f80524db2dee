//! The traffic thread's view: the routes in force and the servers of each
//! service, replaced as a whole whenever the control thread applies an update.

use crate::servers::service_endpoints::ServiceEndpoints;
use arc_swap::ArcSwap;
use camphorway_model::{RouteTable, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// The current view, shared between threads.
#[derive(Debug, Default)]
pub struct SharedView {
    current: ArcSwap<FrontView>,
}

/// The routes and servers at one time.
#[derive(Clone, Debug, Default)]
pub struct FrontView {
    /// The routes in force; none before the first configuration.
    pub routes: Option<Arc<RouteTable>>,
    /// The servers of each service.
    pub services: Arc<HashMap<ServiceName, Arc<ServiceEndpoints>>>,
    /// Whether the servers have been listed since the start.
    pub has_server_list: bool,
    /// Whether it is known which failure domains are evacuated.
    pub knows_evacuations: bool,
    /// Until when missing servers may register again after a failure of the
    /// store.
    pub settles_at: Option<Instant>,
    /// Extra calls that this front may make in each window beyond the ratio.
    pub allowance: f64,
}

impl SharedView {
    /// The current view.
    pub fn load(&self) -> Arc<FrontView> {
        self.current.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: FrontView) {
        self.current.store(Arc::new(view));
    }
}

impl FrontView {
    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.has_server_list && self.knows_evacuations
    }
}
