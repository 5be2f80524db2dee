//! The examples in the docs are valid, and the reference documents every key.

use camphorway_daemon::settings::DaemonSettings;
use camphorway_model::CheckedConfiguration;
use std::collections::BTreeMap;

const MLINCEK: &str = include_str!("../../docs/examples/mlincek.ini");
const OFICINA: &str = include_str!("../../docs/examples/oficina.ini");
const OPERATORS: &str = include_str!("../../docs/operators.md");
const REFERENCE: &str = include_str!("../../docs/inventory.md");

fn counts(text: &str) -> BTreeMap<String, usize> {
    let configuration = CheckedConfiguration::parse(&[("example.ini", text)]).expect("no faults");
    let mut counts = BTreeMap::new();
    for server in configuration.inventory.servers.values() {
        *counts.entry(server.service.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn examples_have_the_expected_server_counts() {
    let mlincek = counts(MLINCEK);
    assert_eq!(mlincek["portal"], 30);
    assert_eq!(mlincek["orders"], 45);
    assert_eq!(mlincek["warranty"], 10);
    assert_eq!(mlincek["reports"], 5);
    let oficina = counts(OFICINA);
    assert_eq!(oficina["scheduling"], 30);
    assert_eq!(oficina["settlement"], 45);
    assert_eq!(oficina["registry"], 10);
    assert_eq!(oficina["listings"], 5);
}

#[test]
fn reference_documents_every_key() {
    let unknown = "[service s]\nx = 1\n[server v]\nx = 1\n[rank bulk]\nx = 1\n[rule r]\nx = 1\n[policy]\nx = 1\n";
    let faults = CheckedConfiguration::parse(&[("keys.ini", unknown)]).expect_err("faults");
    let allowed = faults
        .iter()
        .filter_map(|fault| fault.problem.strip_prefix("unknown key; allowed: "));
    let keys: Vec<&str> = allowed.flat_map(|keys| keys.split(", ")).collect();
    assert!(keys.len() > 20, "{keys:?}");
    for key in keys {
        assert!(
            REFERENCE.contains(&format!("`{key}`")),
            "{key} is not in docs/inventory.md"
        );
    }
}

#[test]
fn settings_in_the_operators_page_are_valid() {
    let (_, rest) = OPERATORS.split_once("```ini\n").expect("a block");
    let (block, _) = rest.split_once("```").expect("its end");
    let settings = DaemonSettings::parse("operators.md", block).expect("no faults");
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert_eq!(settings.seeds.len(), 2);
}
