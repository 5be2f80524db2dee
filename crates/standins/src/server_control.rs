//! The control port of the backend servers' stand-in.
//!
//! `POST /switch?server=NAME&...` changes switches (`*` for all servers):
//! `delay-us`, `stragglers`, `straggler-factor`, `slow-factor`,
//! `connect-cost-us`, `shed`, `draining`, `hide-status`, `status-only`, `frozen`, `crossed`,
//! `truncated`, `cut-after-run` (on/off), `refusal-status`, `snapshots` (ids joined by `+`),
//! `crash` (on). `GET /counts` returns counters, `GET /records` the received calls.

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

/// The backend servers of one process and their control port.
#[derive(Clone, Debug)]
pub struct ServerFarm {
    servers: Arc<BTreeMap<ServerName, Arc<StandinServer>>>,
    records: Arc<Mutex<ServerRecords>>,
    executor: StandinExecutor,
}

impl ServerFarm {
    /// Creates the servers of an inventory for which `is_selected` returns true.
    pub fn new<Selected>(
        configuration: &CheckedConfiguration,
        switches: &ServerSwitches,
        executor: &StandinExecutor,
        seed: u64,
        is_selected: Selected,
    ) -> Self
    where
        Selected: Fn(&camphorway_model::BackendServer) -> bool,
    {
        let records = Arc::default();
        let mut servers = BTreeMap::new();
        let inventory = &configuration.inventory;
        for (index, server) in inventory
            .servers
            .values()
            .filter(|server| is_selected(server))
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

    /// Runs all servers and serves the control port forever.
    ///
    /// # Errors
    /// Returns no error; the process exits with code 1 if a server's port can't be
    /// bound.
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
            async move { Some(farm.handle_request(&request)) }
        })
        .await;
        Ok(())
    }

    fn handle_request(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
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
        let selected_servers: Vec<_> = self
            .servers
            .values()
            .filter(|server| name == "*" || server.server.name.as_str() == name)
            .collect();
        for server in &selected_servers {
            for (key, value) in &pairs {
                if key == "crash" {
                    server.crash();
                    continue;
                }
                let mut is_known = true;
                server.update_switches(|switches| is_known = apply_switch(switches, key, value));
                if !is_known {
                    return text_response(StatusCode::BAD_REQUEST, format!("unknown switch {key}"));
                }
            }
        }
        let status = if selected_servers.is_empty() {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::OK
        };
        text_response(status, String::new())
    }
}

fn apply_switch(switches: &mut ServerSwitches, key: &str, value: &str) -> bool {
    let micros = || Duration::from_micros(value.parse().unwrap_or_default());
    let parse_number = || value.parse().unwrap_or_default();
    let is_on = value == "on";
    match key {
        "delay-us" => switches.delay = micros(),
        "connect-cost-us" => switches.connect_cost = micros(),
        "stragglers" => switches.stragglers = parse_number(),
        "straggler-factor" => switches.straggler_factor = parse_number(),
        "slow-factor" => switches.slow_factor = parse_number(),
        "shed" => switches.shed = is_on,
        "draining" => switches.draining = is_on,
        "status-only" => switches.status_only = is_on,
        "hide-status" => switches.hide_status = is_on,
        "frozen" => switches.frozen = is_on,
        "crossed" => switches.crossed = is_on,
        "truncated" => switches.truncated = is_on,
        "cut-after-run" => switches.cut_after_run = is_on,
        "refusal-status" => {
            if let Ok(status) = value.parse() {
                switches.refusal_status = status;
            }
        }
        "snapshots" => {
            let ids = value.split('+').filter_map(|text| text.parse().ok());
            switches.snapshots = ids.collect();
        }
        _ => return false,
    }
    true
}
