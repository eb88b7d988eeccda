//! Tests of the decision which entry takes over from a leader.

use std::time::Duration;

use skylarkpulley_coordination::{Standby, ping_interval, standby_rank, takeover_delay};

/// Guards against a leader on one of the smallest VMs while larger ones are there: on the users' day
/// trouble-3 an entry with an eighth of a core led 240 agents.
#[test]
fn standby_rank_larger_first() {
    let large = Standby { address: "10.0.0.9:1", cores: 500 };
    let small = Standby { address: "10.0.0.1:1", cores: 120 };
    let peers = [small, large];
    assert_eq!(standby_rank(&peers, &large), 0);
    assert_eq!(standby_rank(&peers, &small), 1);
}

/// Guards against entries of equal size that all wait for each other, or all take over at once.
#[test]
fn standby_rank_equal() {
    let addresses: Vec<String> = (10..65).map(|number| format!("10.0.0.{number}:1")).collect();
    let peers: Vec<Standby> =
        addresses.iter().map(|address| Standby { address, cores: 250 }).collect();
    let mut ranks: Vec<u64> = peers.iter().map(|peer| standby_rank(&peers, peer)).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..55).collect::<Vec<u64>>());
}

/// Guards against a deployment of three entries that notices the loss of its leader later than
/// before, and against 54 entries that all ping the leader several times a second.
#[test]
fn ping_interval_few_close() {
    for rank in 0..3 {
        assert_eq!(takeover_delay(rank), Duration::ZERO);
        assert!(ping_interval(rank) <= Duration::from_millis(300));
    }
    let pings: f64 = (0..54).map(|rank| 1.0 / ping_interval(rank).as_secs_f64()).sum();
    assert!(pings < 80.0, "{pings} pings a second");
}
