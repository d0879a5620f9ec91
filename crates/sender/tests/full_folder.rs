//! A folder that is full of messages that have not ended.
//! Guards against a sender that is kept busy by messages that it must refuse.

mod common;
use common::*;
use std::os::unix::fs::MetadataExt;

// Each message that was refused for lack of room rewrote the journal, and other clients got their answers late.
#[test]
fn messages_that_a_full_folder_refuses_do_not_rewrite_the_journal() {
    let platform = Platform::new(vec![placeholder(3)]);
    let sender = Sender::with(&platform, |c| {
        c["limits"]["disk_mb"] = 0.5.into();
        c["settings"]["Limits"]["MaxOpen"] = 400.into();
    });
    let mut client = sender.client();
    client.ping();
    let body = vec![b'x'; 20_000];
    let mut submit = |n: usize| {
        client.write(&put(&format!("a{n}"), "c=sync,d=19000,dest=3,t=acme", &body));
        client.read()
    };
    let accepted = (0..100).take_while(|n| submit(*n) == "+OK").count();
    assert!((5..100).contains(&accepted), "{accepted} messages accepted");
    let (mut rewritten, mut inode) = (0, std::fs::metadata(sender.journal()).unwrap().ino());
    for n in 100..200 {
        assert!(submit(n).starts_with("-BUSY"));
        let now = std::fs::metadata(sender.journal()).unwrap().ino();
        rewritten += usize::from(now != inode);
        inode = now;
    }
    assert!(rewritten <= 1, "the journal was rewritten {rewritten} times for 100 refused messages");
}
