//! The request that an attempt sends to a backend server.

use hyper::{
    Request,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};

use super::{Context, InFlight};
use crate::proxy::{body::Content, headers};

/// Builds the request to send, with the remaining time and the expected backend
/// server in its headers.
pub(super) fn build(
    flight: &InFlight<'_>,
    context: &Context<'_>,
    body: Content,
) -> Request<Content> {
    let names = &flight.host.settings.headers;
    let mut request = Request::new(body);
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = context.head.uri.clone();
    let is_fully_buffered = request.body().is_fully_buffered();
    let outgoing = request.headers_mut();
    for (name, value) in headers::end_to_end(&context.head.headers) {
        // For a fully buffered body the HTTP library sets the length.
        let is_length = *name == header::CONTENT_LENGTH && is_fully_buffered;
        if !is_length && *name != header::EXPECT {
            outgoing.append(name, value.clone());
        }
    }
    let left = context
        .deadline
        .saturating_duration_since(flight.host.now());
    set_header(outgoing, names.deadline, &left.as_millis().to_string());
    set_header(
        outgoing,
        names.expected_upstream,
        &flight.instance.upstream.id,
    );
    if context.has_customers {
        outgoing.remove(header::AUTHORIZATION);
        outgoing.remove(names.customer);
        if let Some(customer) = &context.customer {
            set_header(outgoing, names.customer, &customer.name);
        }
    }
    request
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    // Names of customers may contain characters other than ASCII.
    match HeaderValue::from_bytes(value.as_bytes()) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(_) => {
            log::error!(event = "header_not_set", name = name, value = value; "header value contains invalid characters; header left out");
        }
    }
}
