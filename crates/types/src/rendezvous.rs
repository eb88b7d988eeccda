use crate::Digest;

/// Orders `nodes` by rendezvous (highest random weight) hashing for `key`: the first node is
/// preferred, and the next one replaces it when it is removed. Removing a node does not change the
/// order of the others.
pub fn rank_nodes<'a>(key: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    let weight = |node: &str| Digest::of(&[key.as_bytes(), node.as_bytes()]);
    let mut ranked = nodes.to_vec();
    ranked.sort_by_cached_key(|node| (std::cmp::Reverse(weight(node)), *node));
    ranked
}
