//! A small deployment: store, leafs, fronts and the configuration.

use crate::front::{Bounds, Front};
use crate::json::Json;
use crate::leaf::{Leaf, Runs, Work};
use crate::record::Record;
use crate::store::Store;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

pub const HOST: &str = "desk.example";

/// A route of the configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub idempotent: bool,
    pub service: &'static str,
    pub attempts: u64,
    pub timeout_ms: u64,
}

pub struct Deployment {
    pub root: PathBuf,
    pub directory: PathBuf,
    pub record: Record,
    pub store: Arc<Store>,
    pub runs: Runs,
    pub leafs: Vec<Arc<Leaf>>,
    pub fronts: Vec<Front>,
    pub bounds: Bounds,
    version: u64,
}

impl Deployment {
    pub fn new(root: &Path, record: &Record, bounds: Bounds) -> Self {
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("temporary folder");
        Self {
            root: root.to_owned(),
            directory,
            record: record.clone(),
            store: Store::new(),
            runs: Runs::default(),
            leafs: Vec::new(),
            fronts: Vec::new(),
            bounds,
            version: 40,
        }
    }

    pub fn add_leaf(&mut self, id: &str, service: &str, zone: &str, work: &Work) {
        let leaf = Leaf::start(id, service, zone, &self.store, &self.runs, Arc::clone(work));
        self.record.line(&format!(
            "leaf {id} of {service} in {zone} at {}",
            leaf.address
        ));
        self.leafs.push(leaf);
    }

    pub fn leaf(&self, id: &str) -> &Arc<Leaf> {
        self.leafs.iter().find(|leaf| leaf.id == id).expect("leaf")
    }

    /// Writes the next version of the configuration.
    pub fn configure(&mut self, routes: &[Route], tenants: &[Json]) {
        self.version += 3;
        let services: Vec<&str> = self
            .leafs
            .iter()
            .map(|leaf| leaf.service.as_str())
            .collect();
        let mut services: Vec<&str> = services;
        services.sort_unstable();
        services.dedup();
        let services = services.iter().map(|name| {
            Json::map(&[
                ("name", Json::text(name)),
                ("maxConns", Json::from(430)),
                ("healthPath", Json::text("/health")),
            ])
        });
        let routes = routes.iter().map(|route| {
            let kind = if route.idempotent {
                "idempotent"
            } else {
                "non_idempotent"
            };
            Json::map(&[
                ("name", Json::text(route.name)),
                ("host", Json::text(HOST)),
                ("pathPrefix", Json::text(route.prefix)),
                ("kind", Json::text(kind)),
                ("service", Json::text(route.service)),
                ("attempts", Json::from(route.attempts)),
                ("timeoutMs", Json::from(route.timeout_ms)),
                ("goalMs", Json::from(800)),
                ("priority", Json::from(1)),
            ])
        });
        let limits = Json::map(&[
            ("maxHeaderBytes", Json::from(16_384)),
            ("maxBodyBytes", Json::from(262_144)),
            ("headerTimeoutMs", Json::from(5_000)),
            ("idleTimeoutMs", Json::from(30_000)),
        ]);
        let mut spec = vec![
            ("version", Json::from(self.version)),
            ("routes", Json::List(routes.collect())),
            ("services", Json::List(services.collect())),
            ("limits", limits),
        ];
        if !tenants.is_empty() {
            spec.push(("tenants", Json::List(tenants.to_vec())));
        }
        self.store.put("config", "main", &Json::map(&spec));
        self.record
            .line(&format!("configuration {} written", self.version));
    }

    pub fn add_front(&mut self, name: &str, zone: &str) {
        let store = self.store.port(name);
        let front = Front::new(name, zone, store, &self.bounds, &self.directory);
        self.record
            .line(&format!("front {name} in {zone} at {}", front.callers));
        self.fronts.push(front);
    }

    pub fn front(&mut self, name: &str) -> &mut Front {
        self.fronts
            .iter_mut()
            .find(|front| front.name == name)
            .expect("front")
    }

    /// Starts all fronts and waits until they are ready.
    pub fn start_all(&mut self) -> bool {
        for front in &mut self.fronts {
            front.start(&self.root, true);
        }
        let are_ready = self
            .fronts
            .iter()
            .all(|front| front.wait_ready(Duration::from_secs(15)));
        self.record.say(&format!(
            "{} fronts started, ready: {are_ready}",
            self.fronts.len()
        ));
        are_ready
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
