//! What to do after an attempt of one request.
//!
//! A request moves through values that cannot be copied: [`Request`] becomes
//! [`Running`] when an attempt starts, and only [`Decision::Retry`] gives the
//! [`Request`] back. For a non-repeatable class it does so only after an
//! attempt that is proved not run, so such a request cannot be begun on a
//! second upstream.

use std::{fmt, sync::Arc, time::Duration};

use smallvec::SmallVec;

use crate::{contract, placement};

/// Names of upstreams that must not be chosen.
pub type Excluded = SmallVec<[Arc<str>; 4]>;

/// What the caller may conclude from a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

impl Outcome {
    /// Value of the header `dotterelhinge-outcome`.
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

/// Why a request failed, as told to the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// No route matches the request.
    NoRoute,
    /// The request exceeds a size limit.
    TooLarge,
    /// The customer holds its whole share.
    CustomerLimit,
    /// The wait for a slot would exceed the limit.
    Overloaded,
    /// The wait for a slot exceeded the limit.
    QueueTimeout,
    /// No upstream may take the request.
    NoUpstream,
    /// The daemon is not ready.
    NotReady,
    /// No connection to the upstream.
    ConnectFailed,
    /// The upstream declared that it did not run the request.
    UpstreamShed,
    /// No lease on the key range can be proved.
    Unfenced,
    /// The idempotency key is older than the repeat window.
    KeyTooOld,
    /// The idempotency key claims to be made in the future.
    KeyTooNew,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The deadline passed.
    Deadline,
    /// The answer is incomplete or malformed.
    BrokenAnswer,
    /// The answer belongs to another request.
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

    fn row(self) -> (&'static str, u16, Outcome) {
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

    /// Name in the problem type.
    pub fn name(self) -> &'static str {
        self.row().0
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        self.row().1
    }

    /// Outcome reported unless the history of the request says otherwise.
    pub fn outcome(self) -> Outcome {
        self.row().2
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
    /// Proved not run, with the kind to report if there is no retry.
    NotRun(Kind),
    /// Any byte may have been written and there is no complete response.
    Unknown(Kind),
    /// There is a complete response.
    Answered,
}

/// Facts about the request at the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
    /// Time left until the deadline.
    pub left: Duration,
    /// Whether any byte of a response was sent to the caller.
    pub answer_begun: bool,
    /// Whether the whole request body can be sent again.
    pub replayable: bool,
}

/// What to do next.
#[derive(Debug)]
pub enum Decision {
    /// Attempt again on another upstream.
    Retry {
        /// The request, ready for its next attempt.
        request: Request,
        /// Upstreams not to attempt again.
        excluded: Excluded,
    },
    /// Send the response to the caller.
    Deliver,
    /// Report a failure to the caller.
    Fail {
        /// The reason.
        kind: Kind,
        /// What the caller may conclude.
        outcome: Outcome,
    },
}

#[derive(Debug)]
struct History {
    repeatable: bool,
    limit: u32,
    attempts: u32,
    excluded: Excluded,
    /// Kind of the last attempt that may have run the request.
    maybe_run: Option<Kind>,
    last: Option<Kind>,
}

impl History {
    /// An attempt that may have run decides both kind and outcome, so that the
    /// caller never reads a kind of the not-run half of the table for it.
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

/// A request with no attempt under way.
#[derive(Debug)]
pub struct Request(History);

impl Request {
    /// A request of `class` before its first attempt.
    pub fn new(class: &contract::Class) -> Self {
        Self(History {
            repeatable: class.repeatable,
            limit: class.max_attempts,
            attempts: 0,
            excluded: Excluded::new(),
            maybe_run: None,
            last: None,
        })
    }

    /// Number of the next attempt, from 1.
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

    /// Gives up because no slot was handed out. After an earlier attempt the
    /// caller is told how that one failed.
    pub fn refused(self, reason: Kind) -> Decision {
        self.0.fail(self.0.last.unwrap_or(reason))
    }

    /// Gives up because the deadline passed while no attempt was under way.
    pub fn expired(self) -> Decision {
        self.0.fail(Kind::Deadline)
    }
}

/// A request with an attempt under way.
#[derive(Debug)]
pub struct Running(History);

impl Running {
    /// Decides what follows the end of the attempt. `budget` takes a retry
    /// token; it is called only if everything else allows a retry.
    pub fn end(self, ended: Ended, state: State, budget: impl FnOnce() -> bool) -> Decision {
        let mut history = self.0;
        let (kind, safe) = match ended {
            Ended::Answered => return Decision::Deliver,
            Ended::NotRun(kind) => (kind, true),
            Ended::Unknown(kind) => {
                history.maybe_run = Some(kind);
                (kind, history.repeatable)
            }
        };
        history.last = Some(kind);
        if state.left.is_zero() {
            return history.fail(Kind::Deadline);
        }
        let allowed = safe
            && !state.answer_begun
            && state.replayable
            && history.attempts < history.limit
            && budget();
        if !allowed {
            return history.fail(kind);
        }
        Decision::Retry {
            excluded: history.excluded.clone(),
            request: Request(history),
        }
    }
}
