//! Tests that messages and replies are unchanged after one sender encodes and another decodes them.

use bytes::{Bytes, BytesMut};
use embershore_protocol::resp::{MAX_BODY_BYTES, Put, Reply, decode_command, decode_put};
use embershore_protocol::resp_client::{MAX_REPLY_BYTES, decode_reply, encode_put};
use proptest::collection::vec;
use proptest::prelude::*;

fn message() -> impl Strategy<Value = Put> {
    let names = ("[ -~ä€]{0,30}", "[!-~]{1,128}", "[a-z=-]{0,20}", "[a-z=-]{0,20}");
    let rest = (any::<u32>(), any::<i64>(), prop::option::of("[!-+--~]{1,128}"), any::<[bool; 2]>());
    (names, rest, vec(any::<u8>(), 0..300)).prop_map(
        |(
            (order_key, request_id, class, tenant),
            (milliseconds, dest, idempotency_key, [resubmitted, sender_lost]),
            body,
        )| Put {
            order_key,
            request_id,
            class,
            tenant,
            time_left: i64::from(milliseconds) * 1000,
            dest,
            idempotency_key,
            resubmitted,
            sender_lost,
            body: Bytes::from(body),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_message_is_decoded_as_it_was_encoded(message in message()) {
        let mut encoded = BytesMut::from(&encode_put(&message)[..]);
        let arguments = decode_command(&mut encoded).expect("well framed").expect("complete");
        prop_assert!(encoded.is_empty());
        prop_assert_eq!(decode_put(&arguments), Ok(message));
    }

    #[test]
    fn a_reply_is_decoded_as_it_was_encoded(reason in "[a-z '.]{1,40}", retry_after_ms in any::<u64>()) {
        for reply in [Reply::Invalid(reason.clone().into()), Reply::Busy { retry_after_ms }] {
            let line = reply.clone().encode();
            prop_assert!(line.len() <= MAX_REPLY_BYTES);
            prop_assert_eq!(decode_reply(line.trim_end_matches("\r\n").as_bytes()), Some(reply));
        }
    }
}

#[test]
fn time_left_is_rounded_down_and_never_negative() {
    for (time_left, expected) in [(1_999, 1_000), (999, 0), (-5_000_000, 0)] {
        let message = Put { request_id: "r".into(), time_left, ..Put::default() };
        let mut encoded = BytesMut::from(&encode_put(&message)[..]);
        let arguments = decode_command(&mut encoded).expect("well framed").expect("complete");
        assert_eq!(decode_put(&arguments).expect("a message").time_left, expected);
    }
}

#[test]
fn the_longest_message_fits_a_command() {
    let message = Put {
        order_key: "k".repeat(128),
        request_id: "r".repeat(128),
        idempotency_key: Some("i".repeat(128)),
        body: vec![7; MAX_BODY_BYTES].into(),
        ..Put::default()
    };
    let mut encoded = BytesMut::from(&encode_put(&message)[..]);
    assert!(decode_command(&mut encoded).expect("well framed").is_some());
}

#[test]
fn other_lines_are_no_replies() {
    for reply in [Reply::Accepted, Reply::Failed, Reply::Busy { retry_after_ms: 0 }] {
        assert_eq!(decode_reply(reply.clone().encode().trim_end_matches("\r\n").as_bytes()), Some(reply));
    }
    for other in ["", "+PONG", "+OK ", "-BUSY x", "-BUSY ", "OK", "-ERR", ":1", "\u{1}"] {
        assert_eq!(decode_reply(other.as_bytes()), None, "{other:?}");
    }
    assert_eq!(decode_reply(&[0xff, 0xfe]), None);
}
