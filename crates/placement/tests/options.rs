//! The section `[placement]`: its defaults, its bounds, and where a finding stands.

use embershore_finding::SpanFinding;
use embershore_placement::options::{PlacementOptions, Section};

/// The options of a text, or each finding with its line.
fn read(text: &str) -> Result<PlacementOptions, Vec<(usize, String)>> {
    let section: Section = toml::from_str(text).map_err(|e| vec![(0, e.to_string())])?;
    section.check().map_err(|found| {
        let findings = SpanFinding::resolve(text, found);
        findings.into_iter().map(|finding| (finding.line, finding.message)).collect()
    })
}

const SMALLEST: &str = "name = \"n0\"\nlisten = \"10.0.0.1:7001\"\ncontrol = [\"10.0.0.9:7100\"]\n";

fn with(line: &str) -> Result<PlacementOptions, Vec<(usize, String)>> {
    read(&format!("{SMALLEST}{line}\n"))
}

#[test]
fn what_is_not_said_has_its_default() {
    let expected = PlacementOptions {
        name: "n0".into(),
        listen: ([10, 0, 0, 1], 7001).into(),
        control: vec![([10, 0, 0, 9], 7100).into()],
        lease: 10_000_000,
        ask_every: 2_500_000,
        agent_lag: 0,
        owner_connections: 64,
    };
    assert_eq!(read(SMALLEST), Ok(expected));
    let options = with("lease = \"2s\"").expect("good");
    assert_eq!((options.lease, options.ask_every), (2_000_000, 500_000), "questions follow the lease");
}

#[test]
fn all_that_is_said_is_taken() {
    let text = "name = \"n1\"\nlisten = \"127.0.0.1:7001\"\ncontrol = [\"127.0.0.2:1\", \"127.0.0.3:1\"]\n\
                lease = \"4s\"\nask_every = \"500ms\"\nagent_lag = \"3s\"\nowner_connections = 3\n";
    let options = read(text).expect("good");
    assert_eq!(options.control, [([127, 0, 0, 2], 1).into(), ([127, 0, 0, 3], 1).into()]);
    assert_eq!((options.lease, options.ask_every), (4_000_000, 500_000));
    assert_eq!((options.agent_lag, options.owner_connections), (3_000_000, 3));
}

#[test]
fn all_that_is_wrong_is_told_at_its_line() {
    let text = "name = \"\"\nlisten = \"0.0.0.0:7001\"\n\
                control = [\"127.0.0.1:0\",\n\"somewhere:1\",\n\"127.0.0.1:5\",\n\"127.0.0.1:5\"]\n\
                lease = \"1s\"\nask_every = \"1500ms\"\nowner_connections = 0\n";
    let lines: Vec<usize> = read(text).expect_err("wrong").into_iter().map(|finding| finding.0).collect();
    assert_eq!(lines, [1, 2, 3, 4, 6, 7, 8, 9]);
}

#[test]
fn bounds_hold_at_both_ends() {
    let wrong = |line: &str, part: &str| {
        let found = with(line).expect_err(line);
        assert!(found.len() == 1 && found[0].0 == 4 && found[0].1.contains(part), "{line}: {found:?}");
    };
    wrong("lease = \"1999ms\"", "between 2s and 5m");
    wrong("lease = \"301s\"", "between 2s and 5m");
    wrong("ask_every = \"99ms\"", "100ms at least");
    wrong("ask_every = \"5001ms\"", "half of 'lease'");
    wrong("agent_lag = \"301s\"", "5m at most");
    wrong("owner_connections = -1", "between 1 and 1024");
    wrong("owner_connections = 1025", "between 1 and 1024");
    for good in ["lease = \"2s\"", "lease = \"5m\"", "ask_every = \"5s\"", "owner_connections = 1024"] {
        assert!(with(good).is_ok(), "{good}");
    }
}

#[test]
fn control_agents_are_one_to_eight() {
    let listed = |count: u8| {
        let control: Vec<String> = (0..count).map(|n| format!("\"10.0.0.{n}:7100\"")).collect();
        read(&SMALLEST.replace("\"10.0.0.9:7100\"", &control.join(", ")))
    };
    assert!(listed(1).is_ok() && listed(8).is_ok());
    assert!(listed(0).expect_err("none")[0].1.contains("1 to 8"));
    assert!(listed(9).expect_err("too many")[0].1.contains("not 9"));
}

#[test]
fn unknown_and_missing_keys_are_refused() {
    assert!(with("leases = \"3s\"").expect_err("unknown")[0].1.contains("unknown field"));
    for (field, rest) in [("name", "listen"), ("listen", "control"), ("control", "name")] {
        let text: String =
            SMALLEST.lines().filter(|l| !l.starts_with(field)).map(|l| format!("{l}\n")).collect();
        let found = read(&text).expect_err(rest);
        assert!(found[0].1.contains(&format!("missing field `{field}`")), "{found:?}");
    }
}
