//! HTTP framing.

use bytes::BytesMut;
use dotterelhinge_standin::http::{body, head};
use googletest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest::{collection, prop_assert_eq};

/// Feeds bytes in parts and returns the body and the bytes after it.
fn decode(mut decoder: body::Decoder, message: &[u8], cuts: &[usize]) -> (Vec<u8>, Vec<u8>, bool) {
    let mut buffer = BytesMut::new();
    let mut whole = Vec::new();
    let mut rest = message;
    for cut in cuts.iter().copied().chain([message.len()]) {
        let (part, after) = rest.split_at(cut.min(rest.len()));
        rest = after;
        buffer.extend_from_slice(part);
        while let Some(part) = decoder.take(&mut buffer).expect("valid framing") {
            whole.extend_from_slice(&part);
        }
    }
    (whole, buffer.to_vec(), decoder.is_done())
}

/// Guards against bodies that depend on how the bytes arrive, and against
/// bytes of the next message that are swallowed.
#[gtest]
fn body_is_independent_of_segmentation() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let input = (
        collection::vec(collection::vec(0_u8..=255, 1..40), 0..6),
        collection::vec(0_usize..30, 0..20),
    );
    let result = runner.run(&input, |(parts, cuts)| {
        let body = parts.concat();
        let mut chunked = Vec::new();
        for part in &parts {
            chunked.extend_from_slice(format!("{:X};a=b\r\n", part.len()).as_bytes());
            chunked.extend_from_slice(part);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\nx: y\r\n\r\nNEXT");
        let expected = (body.clone(), b"NEXT".to_vec(), true);
        prop_assert_eq!(
            decode(body::Decoder::chunked(), &chunked, &cuts),
            expected.clone()
        );
        let plain = [&body[..], b"NEXT"].concat();
        let length = body::Decoder::length(body.len() as u64);
        prop_assert_eq!(decode(length, &plain, &cuts), expected);
        Ok(())
    });
    expect_that!(result, ok(eq(&())));
}

/// Guards against truncated bodies that count as complete.
#[gtest]
fn truncated_bodies_are_not_complete() {
    for message in ["3\r\nabc", "3\r\nabc\r\n", "3\r\nabc\r\n0\r\n", "3"] {
        let (_, _, done) = decode(body::Decoder::chunked(), message.as_bytes(), &[]);
        expect_that!(done, eq(false), "{message:?}");
    }
    for message in ["zz\r\n", "1\r\nab\r\n"] {
        let mut buffer = BytesMut::from(message);
        let mut decoder = body::Decoder::chunked();
        let mut next = decoder.take(&mut buffer);
        while matches!(next, Ok(Some(_))) {
            next = decoder.take(&mut buffer);
        }
        expect_that!(next.is_err(), eq(true), "{message:?}");
    }
    expect_that!(body::Decoder::length(1).is_complete_at_close(), eq(false));
    expect_that!(
        body::Decoder::until_close().is_complete_at_close(),
        eq(true)
    );
}

/// Guards against heads that are taken before they are complete, or never
/// refused.
#[gtest]
fn heads_are_taken_whole() {
    let text = "GET /a/b?bytes=5&chunked=1 HTTP/1.1\r\nConnection: x, Close\r\n\r\n";
    for cut in 0..text.len() {
        let mut buffer = BytesMut::from(&text[..cut]);
        expect_that!(head::Request::take(&mut buffer), ok(none()));
        expect_that!(buffer.len(), eq(cut));
    }
    let mut buffer = BytesMut::from(&format!("{text}rest")[..]);
    let head = head::Request::take(&mut buffer)
        .expect("valid")
        .expect("complete");
    expect_that!(&buffer[..], eq(b"rest"));
    expect_that!(head.path(), eq("/a/b"));
    expect_that!(head.query("bytes"), some(eq("5")));
    expect_that!(head.query("byte"), none());
    expect_that!(head.keeps_alive(), eq(false));
    let endless = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(head::MAX_BYTES));
    expect_that!(
        head::Request::take(&mut BytesMut::from(&endless[..])).is_err(),
        eq(true)
    );
}
