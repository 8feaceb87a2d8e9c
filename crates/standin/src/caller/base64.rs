//! Base64 of histograms (RFC 4648, with padding).

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub(crate) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = word >> (18 - 6 * index) & 63;
                text.push(char::from(ALPHABET[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    let text = text.as_bytes();
    if !text.len().is_multiple_of(4) {
        return None;
    }
    let mut bytes = Vec::with_capacity(text.len() / 4 * 3);
    for group in text.chunks(4) {
        let digits = group.iter().take_while(|byte| **byte != b'=').count();
        if digits < 2 || group[digits..].iter().any(|byte| *byte != b'=') {
            return None;
        }
        let mut word = 0_u32;
        for index in 0..4 {
            let digit = match group.get(index).filter(|_| index < digits) {
                Some(byte) => ALPHABET.iter().position(|a| a == byte)?,
                None => 0,
            };
            word = word << 6 | u32::try_from(digit).ok()?;
        }
        bytes.extend_from_slice(&word.to_be_bytes()[1..digits]);
    }
    Some(bytes)
}
