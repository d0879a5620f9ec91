//! Pins the values of scheme 1, which must be the same on each machine and in each version that supports the scheme.
//! A code change that alters one of the pinned values needs a new scheme number.

mod support;

use embershore_placement::hash::{mix, mix_pair};
use embershore_placement::{ShardId, Table, shard, sub_shard};
use support::{fleet, full_size, list};

#[test]
fn hashes_and_shards_are_pinned() {
    assert_eq!((mix(1), mix_pair(1, 2)), (6238072747940578789, 583880340377267059));
    assert_eq!([0, 1, 2, -1, i64::MAX].map(shard), [0, 162013, 61883, 100130, 231202].map(ShardId));
    assert_eq!([0, 1, 2, 1023].map(|part| sub_shard(7, part)), [85521, 187059, 248898, 162460].map(ShardId));
    assert_eq!(sub_shard(7, 0), shard(7));
}

#[test]
fn tables_are_pinned() {
    let small = list(fleet(&[1], 3, 1));
    let mut form = fleet(&[3, 2], 60, 4);
    for (index, seat) in form.seats.iter_mut().enumerate() {
        seat.weight = [0.5, 1.0, 2.0][index % 3];
        if index % 7 == 0 {
            seat.member = None;
        }
    }
    form.replicas = 3;
    let weighted = list(form);
    let full = full_size();
    let digests = [&small, &weighted, &full].map(|list| (list.digest(), Table::build(list).digest()));
    assert_eq!(
        digests,
        [
            (12488816378587115704, 7336063634169186925),
            (16449544069560692758, 11416665841939075674),
            (14599048565602084311, 14492671665174389311)
        ]
    );
}
