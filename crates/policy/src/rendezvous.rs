//! Highest random weight (rendezvous) hashing: all daemons with the same member
//! list choose the same owner for a key, and the loss of a member moves only
//! the keys that it owned.

use xxhash_rust::xxh3;

/// Returns the weight of `member` for `key`.
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Score of one member for a role; the member with the highest score takes it.
///
/// Members are ordered by the binary logarithm of their strength, rounded down,
/// so that a member comes before all with at most half its strength. Among
/// members of the same magnitude the weight decides, so that different roles go
/// to different members.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Score<'a> {
    magnitude: u32,
    weight: u64,
    member: &'a str,
}

/// Returns the score of `member` for the role named `key`.
pub fn score<'a>(key: &str, member: &'a str, strength: u32) -> Score<'a> {
    Score {
        magnitude: strength.max(1).ilog2(),
        weight: weight(key, member),
        member,
    }
}

/// Returns the member with the highest weight for `key`, or `None` without
/// members.
pub fn owner<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (weight(key, member), *member))
}

/// Returns the `count` members with the highest weights for `key`, best first.
pub fn ranked<'a>(key: &str, members: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut weighted: Vec<_> = members
        .map(|member| (weight(key, member), member))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, member)| member).collect()
}
