//! The daemon's settings: every fault is reported with its file and line, and
//! the daemon does not start.

use std::fs;
use std::process::{Command, Output};

const VALID: &str = "\
[daemon]
vm = entry-1
failure-domain = ljubljana
caller-address = 127.0.0.1:17001
peer-address = 127.0.0.1:17002
admin-address = 127.0.0.1:17003

[store]
address = 127.0.0.1:17004

[tls]
ca-file = ca.pem
certificate-file = daemon.pem
key-file = daemon.key
";

fn check(name: &str, text: &str) -> Output {
    let directory =
        std::env::temp_dir().join(format!("camphorway-settings-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join(name);
    fs::write(&path, text).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_camphorwayd"))
        .current_dir(&directory)
        .args(["--check", "--settings", name])
        .output()
        .expect("the daemon runs");
    fs::remove_file(&path).expect("the file");
    output
}

fn faults(name: &str, text: &str) -> String {
    let output = check(name, text);
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn valid_settings_pass() {
    assert_eq!(check("valid.ini", VALID).status.code(), Some(0));
}

#[test]
fn wrong_value_is_named() {
    let text = VALID.replace("127.0.0.1:17002", "somewhere");
    insta::assert_snapshot!(faults("wrong.ini", &text), @"wrong.ini:5: [daemon] peer-address: `somewhere` is not allowed; allowed: an IP address and port");
}

#[test]
fn missing_key_is_named() {
    let text = VALID.replace("vm = entry-1\n", "");
    insta::assert_snapshot!(faults("missing.ini", &text), @"missing.ini:1: [daemon] vm: key is missing; allowed: the VM's name");
}

#[test]
fn repeated_and_unknown_keys_are_named_together() {
    let text = VALID.replace("[store]\n", "[store]\ncolour = red\n") + "key-file = other.key\n";
    insta::assert_snapshot!(faults("keys.ini", &text));
}

#[test]
fn unknown_section_is_named() {
    let text = format!("{VALID}\n[extra]\na = 1\n");
    insta::assert_snapshot!(faults("section.ini", &text), @"section.ini:16: [extra] -: unknown section; allowed: daemon, store, tls, limits");
}

#[test]
fn missing_section_is_named() {
    let text = VALID.replace("[store]\naddress = 127.0.0.1:17004\n", "");
    insta::assert_snapshot!(faults("short.ini", &text), @"short.ini:0: [] -: a section is missing; needed: [daemon], [store], [tls]");
}

#[test]
fn unreadable_keys_stop_the_start() {
    let directory = std::env::temp_dir().join(format!("camphorway-keys-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory");
    fs::write(directory.join("daemon.ini"), VALID).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_camphorwayd"))
        .current_dir(&directory)
        .args(["--settings", "daemon.ini"])
        .output()
        .expect("the daemon runs");
    fs::remove_dir_all(&directory).expect("the directory");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.starts_with("ca.pem: not readable as PEM"), "{text}");
}
