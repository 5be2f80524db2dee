//! What the traffic thread knows: the routes in force and the servers of each
//! service, replaced as a whole whenever the control thread learns something.

use crate::service_endpoints::ServiceEndpoints;
use arc_swap::ArcSwap;
use camphorway_model::{RouteTable, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// The place where the view is published.
#[derive(Debug, Default)]
pub struct SharedView {
    current: ArcSwap<FrontView>,
}

/// What a daemon believes.
#[derive(Clone, Debug, Default)]
pub struct FrontView {
    /// The routes in force; none before the first configuration.
    pub routes: Option<Arc<RouteTable>>,
    /// Servers by service.
    pub services: Arc<HashMap<ServiceName, Arc<ServiceEndpoints>>>,
    /// Whether the servers were listed since the start.
    pub has_server_list: bool,
    /// Until when servers that are not known may still come back after trouble
    /// with the store.
    pub settles_at: Option<Instant>,
    /// Extra calls that this front may make in each window beside the ratio.
    pub allowance: f64,
}

impl SharedView {
    /// The view at present.
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
        self.routes.is_some() && self.has_server_list
    }
}
