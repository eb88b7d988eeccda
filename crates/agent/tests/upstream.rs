//! Announcements of the upstream of an agent.

use std::time::Instant;

use skylarkpulley_agent::{AnnouncedState, Announcement, Upstream};

fn announcement(address: &str, incarnation: u64) -> Announcement {
    Announcement { address: address.to_owned(), state: AnnouncedState::Serving, incarnation }
}

/// Guards against an odd announcement of another writer that hides those of the upstream itself.
#[test]
fn announce_out_of_range() {
    let now = Instant::now();
    let mut upstream = Upstream::new();
    assert!(upstream.announce(&announcement("10.0.0.1:8000", 1), now));
    for odd in [
        announcement("10.0.0.1:8000", u64::MAX),
        announcement("10.0.0.1:70000", 2),
        announcement("10.0.0.1:0", 2),
        announcement("", 2),
    ] {
        assert!(!upstream.announce(&odd, now), "{odd:?}");
    }
    assert!(upstream.announce(&announcement("10.0.0.1:8000", 1), now));
    assert_eq!(upstream.serving_address(now), Some("10.0.0.1:8000"));
}
