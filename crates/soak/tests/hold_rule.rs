//! Rules by which the proxy holds bytes.

use std::time::{Duration, Instant};

use skylarkpulley_soak::{HoldRule, Party};

/// Guards against a cut that holds the bytes of others, or of the other direction.
#[test]
fn hold_rule_directions() {
    let now = Instant::now();
    let earlier = now - Duration::from_secs(1);
    let rule = HoldRule {
        fault: 1,
        from: Some(Party::Entry(0)),
        to: Some(Party::Store),
        opened_before: Some(now),
        opened_from: None,
    };
    assert!(rule.holds(Party::Entry(0), Party::Store, earlier));
    assert!(!rule.holds(Party::Store, Party::Entry(0), earlier));
    assert!(!rule.holds(Party::Entry(1), Party::Store, earlier));
    assert!(!rule.holds(Party::Entry(0), Party::Store, now));
    let later = HoldRule { opened_before: None, opened_from: Some(now), ..rule };
    assert!(later.holds(Party::Entry(0), Party::Store, now));
    assert!(!later.holds(Party::Entry(0), Party::Store, earlier));
}
