//! Lists of which a part is kept: the same as reading all and dropping the rest, however the text is cut, and with no
//! more held than is kept.

use embershore_protocol::listing::{ListedEndpoint, Listing, ListingError, ListingReader};
use embershore_protocol::listing_stream::FilteredListingReader;
use proptest::collection::vec;
use proptest::prelude::*;

fn line() -> impl Strategy<Value = ListedEndpoint> {
    (".{0,12}", "[A-Za-z{}\\[\\]\"\\\\ ]{0,12}", -3..4i64).prop_map(|(name, status, group)| ListedEndpoint {
        name,
        address: "127.0.0.1:9".into(),
        zone: "endpoints".into(),
        kind: "[{".into(),
        group,
        status,
        weight: None,
    })
}

fn listing() -> impl Strategy<Value = Listing> {
    (any::<u64>(), any::<bool>(), vec(line(), 0..6)).prop_map(|(index, snapshot, mut endpoints)| {
        // A whole list names each once.
        endpoints.iter_mut().enumerate().for_each(|(n, line)| line.name += &format!("-{n}"));
        Listing { index, snapshot, endpoints }
    })
}

/// A list's text: in one line or indented, its fields in either order, white space behind it.
fn written(listing: &Listing, indented: bool, reversed: bool, behind: &str) -> String {
    let value = serde_json::to_value(listing).expect("JSON");
    let mut text =
        if indented { serde_json::to_string_pretty(listing) } else { serde_json::to_string(listing) }
            .expect("JSON");
    if reversed {
        let (endpoints, snapshot, index) = (&value["endpoints"], &value["snapshot"], &value["index"]);
        text = format!(
            "{{\"more\": [{{\"endpoints\":[1,[2]]}}], \"endpoints\" : {endpoints}, \"snapshot\":{snapshot}, \"index\":{index}}}"
        );
    }
    text + behind
}

fn cut(text: &[u8], mut cuts: Vec<usize>) -> Vec<&[u8]> {
    cuts.iter_mut().for_each(|c| *c %= text.len() + 1);
    cuts.extend([0, text.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|w| &text[w[0]..w[1]]).collect()
}

/// All lists of a text that comes in these pieces, and what ended it.
fn filtered(pieces: &[&[u8]], keeps: &dyn Fn(i64) -> bool) -> (Vec<String>, Option<ListingError>) {
    let (mut listings, mut found) = (FilteredListingReader::default(), Vec::new());
    for bytes in pieces {
        listings.extend(bytes);
        loop {
            match listings.next_listing(keeps) {
                Ok(Some(listing)) => found.push(format!("{listing:?}")),
                Ok(None) => break,
                Err(flaw) => return (found, Some(flaw)),
            }
        }
    }
    (found, None)
}

/// The same by reading all of it.
fn all(pieces: &[&[u8]]) -> (Vec<Listing>, Option<ListingError>) {
    let (mut listings, mut found) = (ListingReader::default(), Vec::new());
    for bytes in pieces {
        listings.extend(bytes);
        loop {
            match listings.next_listing() {
                Ok(Some(listing)) => found.push(listing),
                Ok(None) => break,
                Err(flaw) => return (found, Some(flaw)),
            }
        }
    }
    (found, None)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_kept_is_what_reading_all_and_dropping_the_rest_leaves(
        lists in vec((listing(), any::<bool>(), any::<bool>(), "[ \r\n\t]{0,4}"), 0..5),
        cuts in vec(any::<usize>(), 0..12),
        least in -4..5i64,
    ) {
        let text: String = lists.iter().map(|(l, indented, reversed, behind)| written(l, *indented, *reversed, behind)).collect();
        let wanted: Vec<String> = lists.iter().map(|(list, ..)| {
            let mut list = list.clone();
            list.endpoints.retain(|line| line.group >= least);
            format!("{list:?}")
        }).collect();
        let (found, flaw) = filtered(&cut(text.as_bytes(), cuts), &|dest| dest >= least);
        prop_assert!(flaw.is_none(), "{flaw:?}");
        prop_assert_eq!(found, wanted);
    }

    #[test]
    fn a_spoilt_text_is_read_or_refused_as_by_reading_all(
        lists in vec(listing(), 1..3),
        spoilt in vec((any::<usize>(), any::<u8>()), 1..3),
        cuts in vec(any::<usize>(), 0..6),
    ) {
        let mut text: Vec<u8> = lists.iter().flat_map(|l| written(l, false, false, "\n").into_bytes()).collect();
        for (at, byte) in spoilt {
            let at = at % text.len();
            text[at] = byte;
        }
        let pieces = cut(&text, cuts);
        let (found, flaw) = filtered(&pieces, &|_| true);
        let (wanted, wanted_flaw) = all(&pieces);
        let wanted: Vec<String> = wanted.iter().map(|list| format!("{list:?}")).collect();
        // A fault within an entry shows before its list has come to its end.
        prop_assert!(wanted.starts_with(&found) || found == wanted, "{found:?} {wanted:?}");
        if wanted_flaw.is_some() {
            prop_assert_eq!(found, wanted);
        }
        if flaw.is_none() {
            prop_assert!(wanted_flaw.is_none(), "{wanted_flaw:?}");
        }
    }
}

fn one(text: &str, keeps: &dyn Fn(i64) -> bool) -> Result<Vec<String>, String> {
    let mut listings = FilteredListingReader::default();
    listings.extend(text.as_bytes());
    let list = listings.next_listing(keeps).map_err(|flaw| flaw.to_string())?.expect("whole");
    Ok(list.endpoints.into_iter().map(|line| line.name).collect())
}

#[test]
fn a_name_that_stands_twice_among_the_kept_ones_is_an_error() {
    let text = r#"{"endpoints":[{"name":"a","group":1,"status":"Ready"},{"name":"b","group":2,"status":"Ready"},
        {"name":"a","group":1,"status":"Gone"}],"index":1,"snapshot":true}"#;
    assert_eq!(one(text, &|_| true), Err("'a' stands twice in a whole list".into()));
    assert_eq!(one(text, &|dest| dest == 2), Ok(vec!["b".into()]), "it is none of ours");
    let changes = text.replace("true", "false");
    assert_eq!(
        one(&changes, &|dest| dest == 1),
        Ok(vec!["a".into(), "a".into()]),
        "changes follow each other"
    );
}

#[test]
fn a_field_whose_name_is_escaped_is_filtered_too() {
    let text = r#"{"index":1,"end\u0070oints":[{"name":"a","group":1,"status":"R"},{"name":"b","group":2,"status":"R"}]}"#;
    assert_eq!(one(text, &|dest| dest == 2), Ok(vec!["b".into()]));
}

#[test]
fn faults_are_told_with_their_entry() {
    let good = r#"{"name":"a","group":1,"status":"Ready"}"#;
    let list = |entries: &str| one(&format!(r#"{{"index":1,"endpoints":[{entries}]}}"#), &|_| false);
    assert_eq!(list(&format!("{good},{good}")), Ok(vec![]));
    for (entries, what) in [
        (format!("{good}{good}"), "behind 1 entries of a list stands 0x7b"),
        (format!("{good},,{good}"), "behind 1 entries of a list stands 0x2c"),
        (format!("{good},"), "behind 1 entries of a list stands 0x5d"),
        (format!("{good},7"), "behind 1 entries of a list stands 0x37"),
        (format!("{good},{{\"status\":3}}"), "entry 1 of a list can't be read"),
    ] {
        let told = list(&entries).expect_err(&entries);
        assert!(told.contains(what), "{entries}: {told}");
    }
    let twice = r#"{"index":1,"endpoints":[],"endpoints":[]}"#;
    assert!(one(twice, &|_| true).expect_err("twice").contains("duplicate field"));
}

#[test]
fn a_long_list_of_which_little_is_kept_is_not_held() {
    let mut listings = FilteredListingReader::default();
    listings.extend(br#"{"index":1,"snapshot":true,"endpoints":["#);
    let mut most = 0;
    for number in 0..40_000 {
        let comma = if number == 0 { "" } else { "," };
        let address = "127.0.0.1:9";
        listings.extend(
            format!(
                r#"{comma}{{"name":"e{number}","address":"{address}","group":{number},"status":"Ready"}}"#
            )
            .as_bytes(),
        );
        assert!(
            listings.next_listing(&|dest| dest % 1000 == 0).expect("good").is_none() && listings.is_partial()
        );
        most = most.max(listings.buffered_bytes());
    }
    assert!(most < 4096, "{most} bytes were held at a time");
    listings.extend(b"]}\n");
    let list = listings.next_listing(&|dest| dest % 1000 == 0).expect("good").expect("whole");
    assert_eq!((list.index, list.snapshot, list.endpoints.len()), (1, true, 40));
    assert!(!listings.is_partial());
}
