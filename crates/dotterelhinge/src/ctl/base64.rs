//! Decoder of standard Base64 (RFC 4648), in which daemons send histograms.

/// Decodes text, with or without padding.
pub(super) fn decode(text: &str) -> Option<Vec<u8>> {
    let text = text.trim_end_matches('=').as_bytes();
    if text.len() % 4 == 1 {
        return None;
    }
    let mut bytes = Vec::with_capacity(text.len() * 3 / 4);
    for chunk in text.chunks(4) {
        let mut group = 0u32;
        for &letter in chunk {
            group = group << 6 | u32::from(value(letter)?);
        }
        group <<= 6 * (4 - chunk.len()) + 8;
        bytes.extend_from_slice(&group.to_be_bytes()[..chunk.len() - 1]);
    }
    Some(bytes)
}

fn value(letter: u8) -> Option<u8> {
    match letter {
        b'A'..=b'Z' => Some(letter - b'A'),
        b'a'..=b'z' => Some(letter - b'a' + 26),
        b'0'..=b'9' => Some(letter - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    }
}
