//! The file as a whole: what is off, what is refused, and where.

use embershore_options::{FILE_MOST, Options, OptionsError};
use embershore_owed::ClassFacts;
use heronroute::Effect;

fn classes() -> Vec<ClassFacts> {
    vec![ClassFacts { name: "payout".into(), effect: Effect::Unsafe, window: 0, deadline: 20_000_000 }]
}

#[test]
fn what_has_no_section_is_off() {
    assert_eq!(Options::parse("", &classes()), Ok(Options::default()));
    assert_eq!(Options::parse("# nothing yet\n", &classes()), Ok(Options::default()));
    let options = Options::parse("[owed]\nmax_mb = 2\n[[owed.rule]]\nclass = [\"payout\"]\n", &classes());
    let options = options.expect("good");
    assert_eq!((options.owed.expect("on").rules.len(), options.placement), (1, None));
    let section = "[placement]\nname = \"n0\"\nlisten = \"127.0.0.1:7001\"\ncontrol = [\"127.0.0.1:7100\"]\n";
    let options = Options::parse(section, &classes()).expect("good");
    assert_eq!((options.owed, options.placement.expect("on").name.as_str()), (None, "n0"));
}

#[test]
fn each_finding_has_its_line_and_column() {
    let at = |text: &str| -> Vec<(usize, usize)> {
        let places = Options::parse(text, &classes()).expect_err("wrong");
        places.iter().map(|p| (p.line, p.column)).collect()
    };
    assert_eq!(at("[owed]\nmax_mb = 2\n[gateway]\n"), [(3, 2)], "an unknown section");
    assert_eq!(at("[owed]\nmax_mb = 2\nmax = 3\n"), [(3, 1)], "an unknown key");
    assert_eq!(at("[owed]\nmax_mb = \n").len(), 1, "no TOML");
    let text = "[owed]\nmax_mb = 0.0\n[[owed.rule]]\nclass = [\"payout\", \"zahlung\", \"ä\", \"x\"]\n";
    assert_eq!(
        at(text),
        [(2, 10), (4, 20), (4, 31), (4, 36)],
        "all of them, in order; columns count characters"
    );
}

#[test]
fn a_file_that_is_not_there_too_long_or_no_text_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("options.toml");
    let wrong = |part: &str| {
        let e = Options::read(&path, &classes()).expect_err("wrong").to_string();
        assert!(e.contains("options.toml") && e.contains(part), "{e}");
    };
    wrong("No such file");
    std::fs::write(&path, vec![b'#'; FILE_MOST as usize + 1]).expect("written");
    wrong("at most");
    std::fs::write(&path, [0xff, 0xfe]).expect("written");
    wrong("UTF-8");
    std::fs::write(&path, "[owed]\nmax_mb = 0\n").expect("written");
    let e = Options::read(&path, &classes()).expect_err("wrong");
    assert!(matches!(&e, OptionsError::Invalid { findings, .. } if findings.len() == 1), "{e}");
    assert!(e.to_string().contains("options.toml:2:10: 'max_mb'"), "{e}");
    std::fs::write(&path, "[owed]\nmax_mb = 1\n").expect("written");
    assert!(Options::read(&path, &classes()).expect("good").owed.is_some());
}

#[test]
fn the_shipped_example_is_good() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/options.example.toml");
    let class =
        |name: &str, effect| ClassFacts { name: name.into(), effect, window: 10_000_000, deadline: 0 };
    let classes = [
        class("airtime-payout", Effect::Unsafe),
        class("status-sync", Effect::Safe),
        class("response-push", Effect::Keyed),
    ];
    let options = Options::read(path.as_ref(), &classes).expect("good");
    assert_eq!(options.owed.expect("on").rules.len(), 3);
}
