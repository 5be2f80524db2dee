//! The control port of the backend servers' stand-in.
//!
//! `POST /switch?server=NAME&...` changes switches (`*` for all servers):
//! `delay-us`, `stragglers`, `straggler-factor`, `slow-factor`,
//! `connect-cost-us`, `shed`, `draining`, `hide-status`, `status-only`, `frozen`, `crossed`,
//! `truncated`, `cut-after-run` (on/off), `snapshots` (ids joined by `+`),
//! `crash` (on). `GET /counts` and `GET /records` tell what was received.

use crate::http::{StandinExecutor, json_response, query_parameters, serve, text_response};
use crate::server::{ServerRecords, ServerSwitches, StandinServer};
use async_net::TcpListener;
use bytes::Bytes;
use camphorway_model::{CheckedConfiguration, ServerName};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// All backend servers of one process.
#[derive(Clone, Debug)]
pub struct ServerFarm {
    servers: Arc<BTreeMap<ServerName, Arc<StandinServer>>>,
    records: Arc<Mutex<ServerRecords>>,
    executor: StandinExecutor,
}

impl ServerFarm {
    /// The servers of an inventory for which `wanted` holds.
    pub fn new<Wanted>(
        configuration: &CheckedConfiguration,
        switches: &ServerSwitches,
        executor: &StandinExecutor,
        seed: u64,
        wanted: Wanted,
    ) -> Self
    where
        Wanted: Fn(&camphorway_model::BackendServer) -> bool,
    {
        let records = Arc::default();
        let mut servers = BTreeMap::new();
        let inventory = &configuration.inventory;
        for (index, server) in inventory
            .servers
            .values()
            .filter(|server| wanted(server))
            .enumerate()
        {
            let merge = inventory.services[&server.service].merge;
            let seed = seed
                .wrapping_add(index as u64)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let standin =
                StandinServer::new(server, merge, switches.clone(), &records, executor, seed);
            servers.insert(server.name.clone(), standin);
        }
        Self {
            servers: Arc::new(servers),
            records,
            executor: Arc::clone(executor),
        }
    }

    /// Serves all servers and the control port forever.
    ///
    /// # Errors
    /// Returns the system's error if a port can't be had.
    pub async fn run(self, control: TcpListener) -> io::Result<()> {
        for server in self.servers.values() {
            let server = Arc::clone(server);
            self.executor
                .spawn(async move {
                    let address = server.server.address;
                    if let Err(cause) = server.run().await {
                        eprintln!("event=server-not-started address={address} cause={cause:?}");
                        std::process::exit(1);
                    }
                })
                .detach();
        }
        let executor = Arc::clone(&self.executor);
        serve(control, executor, move |request| {
            let farm = self.clone();
            async move { Some(farm.handle(&request)) }
        })
        .await;
        Ok(())
    }

    fn handle(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/switch" => self.switch(request),
            "/counts" => self.counts(),
            "/records" => {
                let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
                json_response(StatusCode::OK, &json!(records.calls))
            }
            _ => text_response(StatusCode::NOT_FOUND, String::new()),
        }
    }

    fn counts(&self) -> Response<Full<Bytes>> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let body = json!({
            "calls": records.calls.len(),
            "runs": records.runs,
            "over-slots": records.over_slots,
            "over-connections": records.over_connections,
            "connections": records.connections,
            "crashes": records.crashes,
        });
        json_response(StatusCode::OK, &body)
    }

    fn switch(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut pairs = query_parameters(request);
        let Some(name) = pairs.remove("server") else {
            return text_response(StatusCode::BAD_REQUEST, "server is missing".to_owned());
        };
        let chosen: Vec<_> = self
            .servers
            .values()
            .filter(|server| name == "*" || server.server.name.as_str() == name)
            .collect();
        for server in &chosen {
            for (key, value) in &pairs {
                if key == "crash" {
                    server.crash();
                    continue;
                }
                let mut known = true;
                server.set(|switches| known = apply(switches, key, value));
                if !known {
                    return text_response(StatusCode::BAD_REQUEST, format!("unknown switch {key}"));
                }
            }
        }
        let status = if chosen.is_empty() {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::OK
        };
        text_response(status, String::new())
    }
}

fn apply(switches: &mut ServerSwitches, key: &str, value: &str) -> bool {
    let micros = || Duration::from_micros(value.parse().unwrap_or_default());
    let number = || value.parse().unwrap_or_default();
    let on = value == "on";
    match key {
        "delay-us" => switches.delay = micros(),
        "connect-cost-us" => switches.connect_cost = micros(),
        "stragglers" => switches.stragglers = number(),
        "straggler-factor" => switches.straggler_factor = number(),
        "slow-factor" => switches.slow_factor = number(),
        "shed" => switches.shed = on,
        "draining" => switches.draining = on,
        "status-only" => switches.status_only = on,
        "hide-status" => switches.hide_status = on,
        "frozen" => switches.frozen = on,
        "crossed" => switches.crossed = on,
        "truncated" => switches.truncated = on,
        "cut-after-run" => switches.cut_after_run = on,
        "snapshots" => {
            let ids = value.split('+').filter_map(|text| text.parse().ok());
            switches.snapshots = ids.collect();
        }
        _ => return false,
    }
    true
}
