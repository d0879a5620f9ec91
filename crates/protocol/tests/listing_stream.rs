//! Tests of the filtering reader of endpoint lists.
//! The reader returns the entries of wanted destinations and drops all other entries.
//! The result does not depend on how the text is split, and little more than the wanted entries is buffered.

use embershore_protocol::listing::{ListedEndpoint, Listing, ListingError, ListingReader};
use embershore_protocol::listing_stream::FilteredListingReader;
use proptest::collection::vec;
use proptest::prelude::*;

fn entry() -> impl Strategy<Value = ListedEndpoint> {
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
    (any::<u64>(), any::<bool>(), vec(entry(), 0..6)).prop_map(|(index, snapshot, mut endpoints)| {
        // A valid complete endpoint list names each endpoint once.
        endpoints.iter_mut().enumerate().for_each(|(n, entry)| entry.name += &format!("-{n}"));
        Listing { index, snapshot, endpoints }
    })
}

/// Returns an endpoint list's JSON, on one line or indented, with fields in either order, then white space.
fn written(listing: &Listing, indented: bool, reversed: bool, white_space: &str) -> String {
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
    text + white_space
}

/// Splits a text at the given offsets, taken modulo its length plus one.
fn split(text: &[u8], mut cuts: Vec<usize>) -> Vec<&[u8]> {
    cuts.iter_mut().for_each(|c| *c %= text.len() + 1);
    cuts.extend([0, text.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|w| &text[w[0]..w[1]]).collect()
}

/// Reads the wanted entries of all endpoint lists in a text that arrives in pieces, up to the first error.
fn filtered(pieces: &[&[u8]], is_wanted: &dyn Fn(i64) -> bool) -> (Vec<String>, Option<ListingError>) {
    let (mut listings, mut found) = (FilteredListingReader::default(), Vec::new());
    for bytes in pieces {
        listings.extend(bytes);
        loop {
            match listings.next_listing(is_wanted) {
                Ok(Some(listing)) => found.push(format!("{listing:?}")),
                Ok(None) => break,
                Err(error) => return (found, Some(error)),
            }
        }
    }
    (found, None)
}

/// Reads all endpoint lists in a text that arrives in pieces, with all entries, up to the first error.
fn all(pieces: &[&[u8]]) -> (Vec<Listing>, Option<ListingError>) {
    let (mut listings, mut found) = (ListingReader::default(), Vec::new());
    for bytes in pieces {
        listings.extend(bytes);
        loop {
            match listings.next_listing() {
                Ok(Some(listing)) => found.push(listing),
                Ok(None) => break,
                Err(error) => return (found, Some(error)),
            }
        }
    }
    (found, None)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_result_is_the_same_as_reading_all_and_dropping_the_rest(
        lists in vec((listing(), any::<bool>(), any::<bool>(), "[ \r\n\t]{0,4}"), 0..5),
        cuts in vec(any::<usize>(), 0..12),
        min_dest in -4..5i64,
    ) {
        let text: String = lists.iter().map(|(list, indented, reversed, white_space)| written(list, *indented, *reversed, white_space)).collect();
        let expected: Vec<String> = lists.iter().map(|(list, ..)| {
            let mut list = list.clone();
            list.endpoints.retain(|entry| entry.group >= min_dest);
            format!("{list:?}")
        }).collect();
        let (found, error) = filtered(&split(text.as_bytes(), cuts), &|dest| dest >= min_dest);
        prop_assert!(error.is_none(), "{error:?}");
        prop_assert_eq!(found, expected);
    }

    #[test]
    fn a_corrupted_text_is_read_or_rejected_as_by_reading_all(
        lists in vec(listing(), 1..3),
        corrupted in vec((any::<usize>(), any::<u8>()), 1..3),
        cuts in vec(any::<usize>(), 0..6),
    ) {
        let mut text: Vec<u8> = lists.iter().flat_map(|list| written(list, false, false, "\n").into_bytes()).collect();
        for (at, byte) in corrupted {
            let at = at % text.len();
            text[at] = byte;
        }
        let pieces = split(&text, cuts);
        let (found, error) = filtered(&pieces, &|_| true);
        let (expected, expected_error) = all(&pieces);
        let expected: Vec<String> = expected.iter().map(|list| format!("{list:?}")).collect();
        // The filtering reader reports an error within an entry before the endpoint list is complete.
        prop_assert!(expected.starts_with(&found) || found == expected, "{found:?} {expected:?}");
        if expected_error.is_some() {
            prop_assert_eq!(found, expected);
        }
        if error.is_none() {
            prop_assert!(expected_error.is_none(), "{expected_error:?}");
        }
    }
}

/// Reads one endpoint list and returns the names of its wanted entries.
fn one(text: &str, is_wanted: &dyn Fn(i64) -> bool) -> Result<Vec<String>, String> {
    let mut listings = FilteredListingReader::default();
    listings.extend(text.as_bytes());
    let list = listings.next_listing(is_wanted).map_err(|error| error.to_string())?.expect("a complete list");
    Ok(list.endpoints.into_iter().map(|entry| entry.name).collect())
}

#[test]
fn a_duplicate_name_among_the_kept_entries_is_an_error() {
    let text = r#"{"endpoints":[{"name":"a","group":1,"status":"Ready"},{"name":"b","group":2,"status":"Ready"},
        {"name":"a","group":1,"status":"Gone"}],"index":1,"snapshot":true}"#;
    assert_eq!(one(text, &|_| true), Err("complete list names 'a' twice".into()));
    assert_eq!(
        one(text, &|dest| dest == 2),
        Ok(vec!["b".into()]),
        "the duplicate name is not among the wanted entries"
    );
    let changes = text.replace("true", "false");
    assert_eq!(
        one(&changes, &|dest| dest == 1),
        Ok(vec!["a".into(), "a".into()]),
        "one endpoint may change twice"
    );
}

#[test]
fn a_field_whose_name_is_escaped_is_filtered_too() {
    let text = r#"{"index":1,"end\u0070oints":[{"name":"a","group":1,"status":"R"},{"name":"b","group":2,"status":"R"}]}"#;
    assert_eq!(one(text, &|dest| dest == 2), Ok(vec!["b".into()]));
}

#[test]
fn errors_name_their_entry() {
    let good = r#"{"name":"a","group":1,"status":"Ready"}"#;
    let list = |entries: &str| one(&format!(r#"{{"index":1,"endpoints":[{entries}]}}"#), &|_| false);
    assert_eq!(list(&format!("{good},{good}")), Ok(vec![]));
    for (entries, message) in [
        (format!("{good}{good}"), "unexpected byte 0x7b after 1 entries of a list"),
        (format!("{good},,{good}"), "unexpected byte 0x2c after 1 entries of a list"),
        (format!("{good},"), "unexpected byte 0x5d after 1 entries of a list"),
        (format!("{good},7"), "unexpected byte 0x37 after 1 entries of a list"),
        (format!("{good},{{\"status\":3}}"), "malformed entry 1 in a list"),
    ] {
        let error = list(&entries).expect_err(&entries);
        assert!(error.contains(message), "{entries}: {error}");
    }
    let duplicate = r#"{"index":1,"endpoints":[],"endpoints":[]}"#;
    assert!(one(duplicate, &|_| true).expect_err("duplicate").contains("duplicate field"));
}

#[test]
fn a_long_list_of_which_little_is_kept_takes_little_memory() {
    let mut listings = FilteredListingReader::default();
    listings.extend(br#"{"index":1,"snapshot":true,"endpoints":["#);
    let mut max_buffered = 0;
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
            listings.next_listing(&|dest| dest % 1000 == 0).expect("valid text").is_none()
                && listings.is_partial()
        );
        max_buffered = max_buffered.max(listings.buffered_bytes());
    }
    assert!(max_buffered < 4096, "{max_buffered} bytes were buffered at a time");
    listings.extend(b"]}\n");
    let list = listings.next_listing(&|dest| dest % 1000 == 0).expect("valid text").expect("a complete list");
    assert_eq!((list.index, list.snapshot, list.endpoints.len()), (1, true, 40));
    assert!(!listings.is_partial());
}
