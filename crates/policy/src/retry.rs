//! Decides what follows an attempt of a request: a retry, the response or a
//! failure.
//!
//! The state of a request is a value that can't be copied: [`Request`] becomes
//! [`Running`] when an attempt starts, and only [`Decision::Retry`] returns the
//! [`Request`]. For a non-repeatable class this happens only after an attempt
//! that is proved not to have run, so such a request can't be started on a
//! second upstream.

use std::{fmt, sync::Arc, time::Duration};

use smallvec::SmallVec;

use crate::{contract, placement};

/// Names of upstreams that must not be chosen.
pub type Excluded = SmallVec<[Arc<str>; 4]>;

/// Whether a failed request may have run, as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header `dotterelhinge-outcome`.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Kind of a failure, as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// No route matches the request.
    NoRoute,
    /// The request exceeds a size limit.
    TooLarge,
    /// The customer uses its whole share of the slots.
    CustomerLimit,
    /// The expected wait for a slot exceeds the limit.
    Overloaded,
    /// The wait for a slot exceeded the limit.
    QueueTimeout,
    /// No upstream may take the request.
    NoUpstream,
    /// The daemon is not ready.
    NotReady,
    /// The connection to the upstream failed.
    ConnectFailed,
    /// The upstream declared that it did not run the request.
    UpstreamShed,
    /// No lease on the key range can be proved.
    Unfenced,
    /// The idempotency key is older than the repeat window.
    KeyTooOld,
    /// The timestamp of the idempotency key is in the future.
    KeyTooNew,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The deadline passed.
    Deadline,
    /// The response is incomplete or malformed.
    BrokenAnswer,
    /// The response belongs to another request.
    CrossedAnswer,
    /// The upstream made no progress.
    UpstreamSilent,
    /// It is not known whether the key was used.
    KeyUnknown,
    /// A request with the same key is running.
    KeyInProgress,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 20] = [
        Self::BadRequest,
        Self::NoRoute,
        Self::TooLarge,
        Self::CustomerLimit,
        Self::Overloaded,
        Self::QueueTimeout,
        Self::NoUpstream,
        Self::NotReady,
        Self::ConnectFailed,
        Self::UpstreamShed,
        Self::Unfenced,
        Self::KeyTooOld,
        Self::KeyTooNew,
        Self::KeyMismatch,
        Self::Deadline,
        Self::BrokenAnswer,
        Self::CrossedAnswer,
        Self::UpstreamSilent,
        Self::KeyUnknown,
        Self::KeyInProgress,
    ];

    /// Returns the name, the HTTP status and the default outcome.
    fn properties(self) -> (&'static str, u16, Outcome) {
        use Outcome::{NotRun, Unknown};
        match self {
            Self::BadRequest => ("bad-request", 400, NotRun),
            Self::NoRoute => ("no-route", 404, NotRun),
            Self::TooLarge => ("too-large", 413, NotRun),
            Self::CustomerLimit => ("customer-limit", 429, NotRun),
            Self::Overloaded => ("overloaded", 503, NotRun),
            Self::QueueTimeout => ("queue-timeout", 503, NotRun),
            Self::NoUpstream => ("no-upstream", 503, NotRun),
            Self::NotReady => ("not-ready", 503, NotRun),
            Self::ConnectFailed => ("connect-failed", 502, NotRun),
            Self::UpstreamShed => ("upstream-shed", 503, NotRun),
            Self::Unfenced => ("unfenced", 503, NotRun),
            Self::KeyTooOld => ("key-too-old", 422, NotRun),
            Self::KeyTooNew => ("key-too-new", 422, NotRun),
            Self::KeyMismatch => ("key-mismatch", 422, NotRun),
            Self::Deadline => ("deadline", 504, Unknown),
            Self::BrokenAnswer => ("broken-answer", 502, Unknown),
            Self::CrossedAnswer => ("crossed-answer", 502, Unknown),
            Self::UpstreamSilent => ("upstream-silent", 504, Unknown),
            Self::KeyUnknown => ("key-unknown", 409, Unknown),
            Self::KeyInProgress => ("key-in-progress", 409, Unknown),
        }
    }

    /// Returns the name, as used in the problem type.
    pub fn name(self) -> &'static str {
        self.properties().0
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        self.properties().1
    }

    /// Returns the outcome that is reported unless an earlier attempt determines
    /// it.
    pub fn outcome(self) -> Outcome {
        self.properties().2
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl From<placement::Refusal> for Kind {
    fn from(refusal: placement::Refusal) -> Self {
        match refusal {
            placement::Refusal::Overloaded | placement::Refusal::Budget => Self::Overloaded,
            placement::Refusal::QueueTimeout => Self::QueueTimeout,
            placement::Refusal::CustomerLimit => Self::CustomerLimit,
            placement::Refusal::NoUpstream => Self::NoUpstream,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The request is proved not to have run. Holds the kind to report if there
    /// is no retry.
    NotRun(Kind),
    /// Part of the request may have been sent and there is no complete response.
    /// Holds the kind to report if there is no retry.
    Unknown(Kind),
    /// There is a complete response.
    Answered,
}

/// State of the request at the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
    /// Time left for the request. Zero fails it with [`Kind::Deadline`].
    pub time_left: Duration,
    /// Whether any byte of a response was sent to the caller.
    pub response_started: bool,
    /// Whether the whole request body can be sent again.
    pub replayable: bool,
}

/// Next step of a request.
#[derive(Debug)]
pub enum Decision {
    /// Retries on another upstream.
    Retry {
        /// The request, ready for its next attempt.
        request: Request,
        /// Upstreams that already had an attempt.
        excluded: Excluded,
    },
    /// Sends the response to the caller.
    Deliver,
    /// Reports a failure to the caller.
    Fail {
        /// Kind of the failure.
        kind: Kind,
        /// Whether the request may have run.
        outcome: Outcome,
    },
}

#[derive(Debug)]
struct History {
    repeatable: bool,
    max_attempts: u32,
    attempts: u32,
    excluded: Excluded,
    /// Kind of the last attempt that may have run the request.
    maybe_run: Option<Kind>,
    /// Kind of the last attempt.
    last: Option<Kind>,
}

impl History {
    /// Returns the failure to report. An attempt that may have run the request
    /// determines both kind and outcome, so that the caller never gets a kind that
    /// implies that the request was not run. A passed deadline keeps its kind.
    fn fail(&self, kind: Kind) -> Decision {
        let (kind, outcome) = match (kind, self.maybe_run) {
            (Kind::Deadline, Some(_)) => (kind, Outcome::Unknown),
            (Kind::Deadline, None) => (kind, Outcome::NotRun),
            (_, Some(kind)) => (kind, Outcome::Unknown),
            (_, None) => (kind, kind.outcome()),
        };
        Decision::Fail { kind, outcome }
    }
}

/// A request without an attempt in progress.
#[derive(Debug)]
pub struct Request(History);

impl Request {
    /// Creates a request of `class` before its first attempt.
    pub fn new(class: &contract::Class) -> Self {
        Self(History {
            repeatable: class.repeatable,
            max_attempts: class.max_attempts,
            attempts: 0,
            excluded: Excluded::new(),
            maybe_run: None,
            last: None,
        })
    }

    /// Returns the number of the next attempt, from 1.
    pub fn attempt(&self) -> u32 {
        self.0.attempts + 1
    }

    /// Starts an attempt on `upstream`.
    pub fn start(self, upstream: Arc<str>) -> Running {
        let mut history = self.0;
        history.attempts += 1;
        history.excluded.push(upstream);
        Running(history)
    }

    /// Fails the request because no slot was granted. After an earlier attempt,
    /// the failure of that attempt is reported instead of `reason`.
    pub fn refused(self, reason: Kind) -> Decision {
        self.0.fail(self.0.last.unwrap_or(reason))
    }

    /// Fails the request because its deadline passed while no attempt was in
    /// progress.
    pub fn expired(self) -> Decision {
        self.0.fail(Kind::Deadline)
    }
}

/// A request with an attempt in progress.
#[derive(Debug)]
pub struct Running(History);

impl Running {
    /// Returns the next step after the end of the attempt. `budget` takes a retry
    /// token; it is called only if everything else allows a retry.
    pub fn end(self, ended: Ended, state: State, budget: impl FnOnce() -> bool) -> Decision {
        let mut history = self.0;
        let (kind, may_repeat) = match ended {
            Ended::Answered => return Decision::Deliver,
            Ended::NotRun(kind) => (kind, true),
            Ended::Unknown(kind) => {
                history.maybe_run = Some(kind);
                (kind, history.repeatable)
            }
        };
        history.last = Some(kind);
        if state.time_left.is_zero() {
            return history.fail(Kind::Deadline);
        }
        let retry = may_repeat
            && !state.response_started
            && state.replayable
            && history.attempts < history.max_attempts
            && budget();
        if !retry {
            return history.fail(kind);
        }
        Decision::Retry {
            excluded: history.excluded.clone(),
            request: Request(history),
        }
    }
}
