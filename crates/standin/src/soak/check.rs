//! Whether the promises were kept.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::backend::record;
use crate::soak::caller::{End, Exchange, Kind};
use crate::soak::run::BOUND;

/// Time around a disturbance in which a host is not held to bounds: its links
/// and timers have to recover.
const TOUCH: Duration = Duration::from_secs(3);

/// What a disturbance concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// One daemon.
    Host(usize),
    /// The store, for all daemons.
    Store,
}

/// A disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// What it concerns.
    pub subject: Subject,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

impl Span {
    /// Whether it meets the store, or `host`, in one of `spans`.
    pub fn overlaps_any(&self, spans: &[Span], host: Option<usize>) -> bool {
        spans.iter().any(|span| {
            let concerns = match span.subject {
                Subject::Store => self.subject == Subject::Store,
                Subject::Host(other) => host == Some(other),
            };
            concerns && span.from <= self.until && self.from <= span.until + TOUCH
        })
    }
}

/// A backend server that left.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// Its number.
    pub upstream: usize,
    /// When it left.
    pub from: Instant,
    /// Number of the last request that any server had begun at the bound.
    pub last_number: u64,
    /// The same when it came back.
    pub return_number: Option<u64>,
    /// When it came back.
    pub until: Option<Instant>,
}

/// All that was seen in a run.
#[derive(Debug)]
pub struct Evidence {
    /// What callers saw.
    pub exchanges: Vec<Exchange>,
    /// What backend servers began.
    pub record: Vec<record::Entry>,
    /// When what was disturbed.
    pub spans: Vec<Span>,
    /// Backend servers that left.
    pub departures: Vec<Departure>,
    /// What was not served after the end of all faults.
    pub unserved: Vec<String>,
    /// Logs of the daemons that run at the end.
    pub logs: Vec<String>,
}

/// Counts for a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Requests.
    pub requests: usize,
    /// Requests with a whole answer of their own and status 200.
    pub served: usize,
    /// Requests with another answer.
    pub refused: usize,
    /// Requests without an answer.
    pub unanswered: usize,
}

impl Evidence {
    /// Counts for a report.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            requests: self.exchanges.len(),
            ..Summary::default()
        };
        for exchange in &self.exchanges {
            match exchange.end {
                End::Answered { status: 200, .. } => summary.served += 1,
                End::Answered { .. } => summary.refused += 1,
                End::NotConnected | End::Cut | End::Silent => summary.unanswered += 1,
            }
        }
        summary
    }

    /// Every promise that was broken, one line each.
    pub fn violations(&self) -> Vec<String> {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for entry in &self.record {
            *runs
                .entry(entry.id.as_deref().unwrap_or_default())
                .or_default() += 1;
        }
        let mut broken = self.unserved.clone();
        for exchange in &self.exchanges {
            let count = runs.get(&*exchange.id).copied().unwrap_or(0);
            broken.extend(self.judge(exchange, count));
        }
        broken.extend(
            self.departures
                .iter()
                .filter_map(|left| self.late_work(left)),
        );
        broken
    }

    fn judge(&self, exchange: &Exchange, runs: usize) -> Option<String> {
        let once = matches!(exchange.kind, Kind::Order | Kind::Scan);
        let id = &exchange.id;
        if once && runs > 1 {
            return Some(format!("{id} ran {runs} times"));
        }
        match exchange.end {
            End::Answered {
                status: 200,
                is_valid: false,
            } => Some(format!(
                "{id} got an answer that is not its own or not whole"
            )),
            End::Answered { status, .. }
                if once && matches!(status, 408 | 421 | 429 | 503) && runs > 0 =>
            {
                Some(format!("{id} was told {status} and ran"))
            }
            End::Answered { status: 404, .. } if self.is_in_touch(exchange) => Some(format!(
                "{id} got 404 from host {} on a route of version {}",
                exchange.host, exchange.version
            )),
            End::Cut if runs > 0 && !self.was_ended(exchange) => Some(format!(
                "{id} was cut at host {} while a server worked on it",
                exchange.host
            )),
            End::Silent if !self.was_ended(exchange) => {
                Some(format!("{id} got no answer from host {}", exchange.host))
            }
            _ => None,
        }
    }

    fn span(&self, exchange: &Exchange) -> Span {
        Span {
            subject: Subject::Store,
            from: exchange.sent,
            until: exchange.ended,
        }
    }

    /// Whether the host was undisturbed, and so held to the newest
    /// configuration. A route that was announced stays known when the store is
    /// away.
    fn is_in_touch(&self, exchange: &Exchange) -> bool {
        let hosts = Span {
            subject: Subject::Host(exchange.host),
            ..self.span(exchange)
        };
        !hosts.overlaps_any(&self.spans, Some(exchange.host))
    }

    /// Whether the host was killed, frozen or started around the request.
    fn was_ended(&self, exchange: &Exchange) -> bool {
        !self.is_in_touch(exchange)
    }

    /// Work that a server got although it had left for longer than the bound.
    fn late_work(&self, left: &Departure) -> Option<String> {
        let bound = Span {
            subject: Subject::Store,
            from: left.from,
            until: left.from + BOUND,
        };
        let disturbed = self
            .spans
            .iter()
            .any(|span| span.from <= bound.until + TOUCH && bound.from <= span.until + TOUCH);
        let late = self.record.iter().find(|entry| {
            let after = entry.number > left.last_number;
            let before = left.return_number.is_none_or(|back| entry.number <= back);
            entry.server == left.upstream && after && before
        })?;
        let id = late.id.as_deref().unwrap_or_default();
        (!disturbed).then(|| format!("server {} began {id} after it had left", left.upstream))
    }
}
