//! Tests of the section `[placement]` of the options file: defaults, limits, and the lines reported with errors.

use embershore_finding::SpanFinding;
use embershore_placement::options::{PlacementOptions, Section};

/// Parses the text of a section `[placement]`. Returns the options, or each error found with its line.
fn read(text: &str) -> Result<PlacementOptions, Vec<(usize, String)>> {
    let section: Section = toml::from_str(text).map_err(|e| vec![(0, e.to_string())])?;
    section.check().map_err(|found| {
        let findings = SpanFinding::resolve(text, found);
        findings.into_iter().map(|finding| (finding.line, finding.message)).collect()
    })
}

const MINIMAL: &str = "name = \"n0\"\nlisten = \"10.0.0.1:7001\"\ncontrol = [\"10.0.0.9:7100\"]\n";

fn with(line: &str) -> Result<PlacementOptions, Vec<(usize, String)>> {
    read(&format!("{MINIMAL}{line}\n"))
}

#[test]
fn missing_keys_have_defaults() {
    let expected = PlacementOptions {
        name: "n0".into(),
        listen: ([10, 0, 0, 1], 7001).into(),
        control_agents: vec![([10, 0, 0, 9], 7100).into()],
        lease: 10_000_000,
        poll_interval: 2_500_000,
        agent_lag: 0,
        max_owner_connections: 64,
    };
    assert_eq!(read(MINIMAL), Ok(expected));
    let options = with("lease = \"2s\"").expect("the options are valid");
    assert_eq!(
        (options.lease, options.poll_interval),
        (2_000_000, 500_000),
        "the poll interval follows the lease"
    );
}

#[test]
fn all_keys_are_read() {
    let text = "name = \"n1\"\nlisten = \"127.0.0.1:7001\"\ncontrol = [\"127.0.0.2:1\", \"127.0.0.3:1\"]\n\
                lease = \"4s\"\nask_every = \"500ms\"\nagent_lag = \"3s\"\nowner_connections = 3\n";
    let options = read(text).expect("the options are valid");
    assert_eq!(options.control_agents, [([127, 0, 0, 2], 1).into(), ([127, 0, 0, 3], 1).into()]);
    assert_eq!((options.lease, options.poll_interval), (4_000_000, 500_000));
    assert_eq!((options.agent_lag, options.max_owner_connections), (3_000_000, 3));
}

#[test]
fn all_findings_are_reported_at_their_lines() {
    let text = "name = \"\"\nlisten = \"0.0.0.0:7001\"\n\
                control = [\"127.0.0.1:0\",\n\"somewhere:1\",\n\"127.0.0.1:5\",\n\"127.0.0.1:5\"]\n\
                lease = \"1s\"\nask_every = \"1500ms\"\nowner_connections = 0\n";
    let lines: Vec<usize> =
        read(text).expect_err("the options are invalid").into_iter().map(|finding| finding.0).collect();
    assert_eq!(lines, [1, 2, 3, 4, 6, 7, 8, 9]);
}

#[test]
fn limits_are_checked_at_both_ends() {
    let assert_rejected = |line: &str, part: &str| {
        let found = with(line).expect_err(line);
        assert!(found.len() == 1 && found[0].0 == 4 && found[0].1.contains(part), "{line}: {found:?}");
    };
    assert_rejected("lease = \"1999ms\"", "must be between 2s and 5m");
    assert_rejected("lease = \"301s\"", "must be between 2s and 5m");
    assert_rejected("ask_every = \"99ms\"", "must be at least 100ms");
    assert_rejected("ask_every = \"5001ms\"", "must be at most half of 'lease'");
    assert_rejected("agent_lag = \"301s\"", "must be at most 5m");
    assert_rejected("owner_connections = -1", "must be between 1 and 1024");
    assert_rejected("owner_connections = 1025", "must be between 1 and 1024");
    for valid_line in ["lease = \"2s\"", "lease = \"5m\"", "ask_every = \"5s\"", "owner_connections = 1024"] {
        assert!(with(valid_line).is_ok(), "{valid_line}");
    }
}

#[test]
fn one_to_eight_control_agents_are_allowed() {
    let listed = |count: u8| {
        let control: Vec<String> = (0..count).map(|n| format!("\"10.0.0.{n}:7100\"")).collect();
        read(&MINIMAL.replace("\"10.0.0.9:7100\"", &control.join(", ")))
    };
    assert!(listed(1).is_ok() && listed(8).is_ok());
    assert!(listed(0).expect_err("no control agent is listed")[0].1.contains("1 to 8"));
    assert!(listed(9).expect_err("nine control agents are listed")[0].1.contains("not 9"));
}

#[test]
fn unknown_and_missing_keys_are_rejected() {
    assert!(with("leases = \"3s\"").expect_err("the field is unknown")[0].1.contains("unknown field"));
    for (field, rest) in [("name", "listen"), ("listen", "control"), ("control", "name")] {
        let text: String =
            MINIMAL.lines().filter(|l| !l.starts_with(field)).map(|l| format!("{l}\n")).collect();
        let found = read(&text).expect_err(rest);
        assert!(found[0].1.contains(&format!("missing field `{field}`")), "{found:?}");
    }
}
