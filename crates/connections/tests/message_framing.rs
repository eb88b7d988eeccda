//! How the ends of messages are found in the body of a call.

use quickcheck::{Gen, QuickCheck};
use skylarkpulley_connections::MessageFraming;

fn message(length: u32) -> Vec<u8> {
    let prefix = length.to_be_bytes();
    [&[0], &prefix[..], &vec![7; length as usize]].concat()
}

/// Guards against frames of a body that end within a prefix or hold parts of several messages, over
/// random messages and frames.
#[test]
fn receive_any_frames() {
    fn property(lengths: Vec<u8>, frames: Vec<u8>) -> bool {
        let bytes: Vec<u8> =
            lengths.iter().flat_map(|length| message(u32::from(*length))).collect();
        let mut framing = MessageFraming::default();
        let mut sizes = frames.iter().map(|size| usize::from(*size % 16) + 1).cycle();
        let (mut rest, mut received) = (&bytes[..], 0);
        let ends = lengths.iter().scan(0, |end, length| {
            *end += 5 + usize::from(*length);
            Some(*end)
        });
        let ends: Vec<usize> = ends.collect();
        while !rest.is_empty() {
            let (frame, later) = rest.split_at(sizes.next().unwrap_or(7).min(rest.len()));
            let completed = framing.receive(frame);
            let within = received + 1..=received + frame.len();
            received += frame.len();
            rest = later;
            let started = ends.iter().rev().find(|end| **end <= received).copied().unwrap_or(0);
            let partial = (received - started).saturating_sub(5);
            if completed != ends.iter().any(|end| within.contains(end))
                || framing.partial() != partial
            {
                return false;
            }
        }
        framing.partial() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 57))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}
