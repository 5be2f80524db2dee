//! All faults of a configuration are reported together, with file and line.

use camphorway_model::CheckedConfiguration;

fn faults(text: &str) -> String {
    let faults = CheckedConfiguration::parse(&[("inventory.ini", text)]).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn all_faults_are_reported_together() {
    let text = "\
[service portal]
merge = average
layout = portal

[server a]
service = portal
instance = 1
failure-domain = d
address = nowhere
slots = 0
connections = 5
colour = red

[rank urgent]
share = 1.5

[rule one]
rank = royal

[policy]
hedging = perhaps

[thing]
";
    insta::assert_snapshot!(faults(text));
}

#[test]
fn references_are_checked_over_all_parts() {
    let service = "[service portal]\nmerge = sum\nlayout = portal\n";
    let server = |name: &str, service: &str| {
        format!(
            "[server {name}]\nservice = {service}\ninstance = 1\nfailure-domain = d\n\
             address = 127.0.0.1:9\nslots = 1\nconnections = 4\n"
        )
    };
    let parts = [
        ("a.ini", service.to_owned()),
        ("b.ini", server("x", "portal")),
    ];
    let borrowed: Vec<(&str, &str)> = parts
        .iter()
        .map(|(file, text)| (*file, text.as_str()))
        .collect();
    let configuration = CheckedConfiguration::parse(&borrowed).expect("no faults");
    assert_eq!(configuration.inventory.servers.len(), 1);
    let text = format!(
        "{service}{}{}",
        server("x", "portal"),
        server("y", "nowhere")
    );
    insta::assert_snapshot!(faults(&text));
}

#[test]
fn seats_must_not_outnumber_slots() {
    let text = "\
[service portal]
merge = sum
layout = portal
[server a]
service = portal
instance = 1
failure-domain = d
address = 127.0.0.1:9
slots = 2
connections = 25
[policy]
seats = 3
";
    insta::assert_snapshot!(faults(text), @"inventory.ini:4: [server a] slots: 2 slots can't be divided among 3 seats");
}

#[test]
fn repeated_sections_are_faults() {
    let text = "[rank bulk]\nshare = 0.1\n[rank bulk]\nshare = 0.2\n";
    insta::assert_snapshot!(faults(text), @"inventory.ini:3: [rank bulk] -: section is repeated, first at line 1");
}

#[test]
fn byte_order_mark_before_the_first_line_is_skipped() {
    let text = "\u{feff}[service portal]\nmerge = sum\nlayout = portal\n";
    let checked = CheckedConfiguration::parse(&[("inventory.ini", text)]);
    let configuration = checked.expect("no faults");
    assert_eq!(configuration.inventory.services.len(), 1);
    let text = "\u{feff}[service portal]\nmerge = average\nlayout = portal\n";
    assert!(
        faults(text).starts_with("inventory.ini:2:"),
        "{}",
        faults(text)
    );
}
