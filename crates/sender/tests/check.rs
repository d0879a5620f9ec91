//! Tests of the command `embershore check`.
//! Guards against an invalid options file that passes the check, and reported errors that don't name their location.
//! Guards against exit codes that scripts can't tell apart.
//! Guards against a daemon that starts with an invalid options file.

use std::path::Path;
use std::process::{Command, Output};

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Profiles":[
    {"Name":"quota","Effect":"free","ObjectiveUs":1000000,"HardLimitUs":5000000},
    {"Name":"response","Effect":"guarded","WindowUs":10000000,"HardLimitUs":24000000},
    {"Name":"payout","Effect":"unsafe","HardLimitUs":28000000}]}}"#;

fn check(folder: &Path, text: &str, more: &[&str]) -> (Option<i32>, String, String) {
    std::fs::write(folder.join("config.json"), CONFIG).expect("written");
    std::fs::write(folder.join("options.toml"), text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_embershore"));
    command.current_dir(folder).env_remove("LB_CONFIG").args(["check", "options.toml"]).args(more);
    let Output { status, stdout, stderr } = command.output().expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

const GOOD: &str = "[owed]\nmax_mb = 8\n\
    [[owed.rule]]\nname = \"payouts of 7\"\nreceiver = [7]\nclass = [\"payout\"]\nowed_for = \"3days\"\n\
    resend = { times = 5, gap = \"30s\", growth = 2.0, gap_most = \"1h\" }\n\
    [[owed.rule]]\nname = \"counts\"\nclass = [\"quota\"]\nsupersede = true\n";

#[test]
fn a_good_file_is_shown_as_what_it_means() {
    let folder = tempfile::tempdir().expect("a folder");
    let (code, out, err) = check(folder.path(), GOOD, &["--config", "config.json"]);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    let line = |parts: &[&str]| {
        let hit = out.lines().find(|l| parts.iter().all(|p| l.contains(p)));
        assert!(hit.is_some(), "no line with {parts:?} in\n{out}");
    };
    line(&[
        "7 ",
        "payout",
        "down",
        "payouts of 7",
        "5 times at most, 30s apart, growing to 1h, after 3days kept",
    ]);
    line(&["7 ", "payout", "may-have-run", "in doubt: waits for a word"]);
    line(&["others", "payout", "down", "none", "not kept"]);
    line(&["others", "quota", "may-have-run", "counts", "not sent again, dropped for a newer one"]);
    let (code, out, _) = check(folder.path(), GOOD, &["--config", "config.json", "--json"]);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, &report["good"]), (Some(0), &true.into()));
    assert_eq!(
        report["owed"].as_array().map(Vec::len),
        Some(2 * 3 * 6),
        "expected an entry for each receiver, class and reason"
    );
}

#[test]
fn a_bad_file_is_refused_with_its_places_and_another_exit_code_than_one_that_is_not_there() {
    let folder = tempfile::tempdir().expect("a folder");
    let config = ["--config", "config.json"];
    let bad = GOOD.replace("class = [\"quota\"]\n", "");
    let (code, out, err) = check(folder.path(), &bad, &config);
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(
        err.contains("options.toml:9:1: 'supersede'") && err.contains("'response' does not overwrite"),
        "{err}"
    );
    let (code, out, _) = check(folder.path(), &bad, &["--config", "config.json", "--json"]);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, &report["good"], &report["findings"][0]["line"]), (Some(1), &false.into(), &9.into()));
    let (code, _, err) = check(folder.path(), GOOD, &["--config", "missing.json"]);
    assert!(code == Some(2) && err.contains("missing.json"), "{code:?} {err}");
    let (code, _, err) = check(folder.path(), GOOD, &[]);
    assert!(
        code == Some(2) && err.contains("--config"),
        "expected an error that asks for --config, which has the classes: {err}"
    );
}

const FLEET: &str = "[fleet]\nname = \"n1\"\nprobe = \"500ms\"\n\
    [[fleet.member]]\nname = \"n0\"\naddress = \"10.0.0.10:7946\"\ndomain = \"rack-1\"\n\
    [[fleet.member]]\nname = \"n1\"\naddress = \"10.0.0.11:7946\"\ndomain = \"rack-2\"\n\
    [[fleet.member]]\nname = \"n2\"\naddress = \"10.0.0.12:7946\"\ndomain = \"rack-2\"\n";

#[test]
fn a_fleet_is_shown_with_what_it_outlives() {
    let folder = tempfile::tempdir().expect("a folder");
    let (code, out, err) = check(folder.path(), FLEET, &["--config", "config.json"]);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    let line = "fleet: this is 'n1' at 10.0.0.11:7946 in 'rack-2', one of 3 in 2 domains; a majority is 2; without \
                'rack-2', the largest with 2, no majority is left";
    assert!(out.contains(line), "{out}");
    let (_, out, _) = check(folder.path(), FLEET, &["--config", "config.json", "--json"]);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((&report["fleet"]["majority"], &report["owed"]), (&2.into(), &serde_json::Value::Null));
    // Errors in all sections of the options file are reported together, in the order of the file.
    let wrong = FLEET.replace("10.0.0.12:7946", "10.0.0.11:7946") + "[owed]\nmax_mb = 0\n";
    let (code, _, err) = check(folder.path(), &wrong, &["--config", "config.json"]);
    let lines: Vec<&str> = err.lines().map(|l| l.split(": ").next().unwrap_or("")).collect();
    assert_eq!((code, lines), (Some(1), vec!["options.toml:14:11", "options.toml:17:10"]), "{err}");
}

const PLACEMENT: &str = "[placement]\nname = \"n0\"\nlisten = \"10.0.0.10:7001\"\n\
    control = [\"10.0.0.1:7100\", \"10.0.0.2:7100\"]\nlease = \"8s\"\n";

#[test]
fn placement_is_shown_with_its_defaults_and_refused_with_its_places() {
    let folder = tempfile::tempdir().expect("a folder");
    let (code, out, err) = check(folder.path(), PLACEMENT, &["--config", "config.json"]);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    let line = "placement: this is 'n0', takes forwarded requests at 10.0.0.10:7001, asks 10.0.0.1:7100, 10.0.0.2:7100 \
                every 2s for a lease of 8s, agents are at most 0s behind, keeps 64 connections to other members at most";
    assert!(out.contains(line) && !out.contains("nothing is switched on"), "{out}");
    let (_, out, _) = check(folder.path(), PLACEMENT, &["--config", "config.json", "--json"]);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((&report["placement"]["name"], &report["placement"]["lease"]), (&"n0".into(), &"8s".into()));
    let wrong = PLACEMENT.replace("8s", "8min").replace("10.0.0.10:7001", "10.0.0.10");
    let (code, _, err) = check(folder.path(), &wrong, &["--config", "config.json"]);
    let lines: Vec<&str> = err.lines().map(|l| l.split(": ").next().unwrap_or("")).collect();
    assert_eq!((code, lines), (Some(1), vec!["options.toml:3:10", "options.toml:5:9"]), "{err}");
}

#[test]
fn the_daemon_ends_at_a_wrong_options_file_before_it_listens() {
    let folder = tempfile::tempdir().expect("a folder");
    let wrong = PLACEMENT.replace("8s", "1s");
    std::fs::write(folder.path().join("options.toml"), wrong).expect("written");
    // The options contain an address in use: a daemon that tries to listen there reports an error.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = taken.local_addr().expect("bound").to_string();
    std::fs::write(folder.path().join("config.json"), CONFIG.replace("127.0.0.1:0", &address))
        .expect("written");
    let daemon = |arguments: &[&str], variable: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_embershore"));
        command.current_dir(folder.path()).args(arguments);
        command.env("LB_CONFIG", "config.json").env("LB_STATE", ".").env("LB_OPTIONS", variable);
        let Output { status, stderr, .. } = command.output().expect("it runs");
        (status.code(), String::from_utf8(stderr).expect("text"))
    };
    for (arguments, variable) in [(&["--options", "options.toml"][..], ""), (&[][..], "options.toml")] {
        let (code, err) = daemon(arguments, variable);
        assert_eq!(code, Some(1), "{err}");
        assert!(
            err.contains("options.toml:5:9: 'lease' must be between 2s and 5m") && !err.contains("listen on"),
            "{err}"
        );
    }
    let (_, err) = daemon(&["--options", "missing.toml"], "options.toml");
    assert!(err.contains("missing.toml"), "the command line must override the variable: {err}");
    let (_, err) = daemon(&[], "");
    assert!(err.contains("listen on"), "without an options file the daemon must try to listen: {err}");
}
