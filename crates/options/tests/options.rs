//! Tests of the complete options file: subsystems that are off, rejected files, and the positions of reported errors.

use embershore_options::{MAX_FILE_BYTES, Options, OptionsError};
use embershore_owed::ClassFacts;
use heronroute::Effect;

fn classes() -> Vec<ClassFacts> {
    vec![ClassFacts { name: "payout".into(), effect: Effect::Unsafe, window: 0, deadline: 20_000_000 }]
}

#[test]
fn a_subsystem_without_a_section_is_off() {
    assert_eq!(Options::parse("", &classes()), Ok(Options::default()));
    assert_eq!(Options::parse("# nothing yet\n", &classes()), Ok(Options::default()));
    let options = Options::parse("[owed]\nmax_mb = 2\n[[owed.rule]]\nclass = [\"payout\"]\n", &classes());
    let options = options.expect("valid options");
    assert_eq!((options.owed.expect("section enabled").rules.len(), options.placement), (1, None));
    let section = "[placement]\nname = \"n0\"\nlisten = \"127.0.0.1:7001\"\ncontrol = [\"127.0.0.1:7100\"]\n";
    let options = Options::parse(section, &classes()).expect("valid options");
    assert_eq!((options.owed, options.placement.expect("section enabled").name.as_str()), (None, "n0"));
}

#[test]
fn each_finding_has_its_line_and_column() {
    let at = |text: &str| -> Vec<(usize, usize)> {
        let places = Options::parse(text, &classes()).expect_err("invalid options");
        places.iter().map(|p| (p.line, p.column)).collect()
    };
    assert_eq!(at("[owed]\nmax_mb = 2\n[gateway]\n"), [(3, 2)], "an unknown section");
    assert_eq!(at("[owed]\nmax_mb = 2\nmax = 3\n"), [(3, 1)], "an unknown key");
    assert_eq!(at("[owed]\nmax_mb = \n").len(), 1, "not TOML");
    let text = "[owed]\nmax_mb = 0.0\n[[owed.rule]]\nclass = [\"payout\", \"zahlung\", \"ä\", \"x\"]\n";
    assert_eq!(
        at(text),
        [(2, 10), (4, 20), (4, 31), (4, 36)],
        "all findings, in order; columns count characters"
    );
}

#[test]
fn an_error_names_a_file_that_is_missing_too_long_or_not_text() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("options.toml");
    let rejected_with = |part: &str| {
        let e = Options::read(&path, &classes()).expect_err("invalid options").to_string();
        assert!(e.contains("options.toml") && e.contains(part), "{e}");
    };
    rejected_with("No such file");
    std::fs::write(&path, vec![b'#'; MAX_FILE_BYTES as usize + 1]).expect("file written");
    rejected_with("at most");
    std::fs::write(&path, [0xff, 0xfe]).expect("file written");
    rejected_with("UTF-8");
    std::fs::write(&path, "[owed]\nmax_mb = 0\n").expect("file written");
    let e = Options::read(&path, &classes()).expect_err("invalid options");
    assert!(matches!(&e, OptionsError::Invalid { findings, .. } if findings.len() == 1), "{e}");
    assert!(e.to_string().contains("options.toml:2:10: 'max_mb'"), "{e}");
    std::fs::write(&path, "[owed]\nmax_mb = 1\n").expect("file written");
    assert!(Options::read(&path, &classes()).expect("valid options").owed.is_some());
}

#[test]
fn the_shipped_example_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/options.example.toml");
    let class =
        |name: &str, effect| ClassFacts { name: name.into(), effect, window: 10_000_000, deadline: 0 };
    let classes = [
        class("airtime-payout", Effect::Unsafe),
        class("status-sync", Effect::Safe),
        class("response-push", Effect::Keyed),
    ];
    let options = Options::read(path.as_ref(), &classes).expect("valid options");
    assert_eq!(options.owed.expect("section enabled").rules.len(), 3);
}
