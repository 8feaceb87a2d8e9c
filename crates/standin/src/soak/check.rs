//! Checks of the guarantees that a soak run must uphold.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::backend::record;
use crate::soak::caller::{End, Exchange, Kind};
use crate::soak::run::BOUND;

/// Time around a disturbance in which bounds don't apply to a host, since its
/// connections and timers have to recover.
const RECOVERY_MARGIN: Duration = Duration::from_secs(3);

/// What a disturbance affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// One daemon.
    Host(usize),
    /// The store, and so all daemons.
    Store,
}

/// Time span of a disturbance, or of anything compared with one.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// What it affects.
    pub subject: Subject,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

impl Span {
    /// Whether it overlaps one of `spans`, or the recovery time after it, that
    /// affects `host`, or the store if this span is about the store.
    pub fn overlaps_any(&self, spans: &[Span], host: Option<usize>) -> bool {
        spans.iter().any(|span| {
            let is_affected = match span.subject {
                Subject::Store => self.subject == Subject::Store,
                Subject::Host(other) => host == Some(other),
            };
            is_affected && span.from <= self.until && self.from <= span.until + RECOVERY_MARGIN
        })
    }
}

/// Departure of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// Number of the backend server.
    pub upstream: usize,
    /// When it reported that it is draining, or its entry was removed.
    pub from: Instant,
    /// Number of the last request that any server had begun [`BOUND`] after
    /// `from`.
    pub last_number: u64,
    /// Number of the last request that any server had begun at its return.
    pub return_number: Option<u64>,
    /// When it registered again.
    pub until: Option<Instant>,
}

/// A new start of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Number of the backend server.
    pub upstream: usize,
    /// When it started.
    pub at: Instant,
}

/// Time span in which the link to a backend server was frozen, closed or slow.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Number of the backend server.
    pub upstream: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// Time before its deadline from which the daemon may break an answer off: it brings
/// the deadline forward by what its own scheduling takes.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);

/// Time after an answer within which requests that were under way still arrive.
/// It is the bound for answers that ask for time; leaving has a longer one.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests that may reach a server from one host in the time for which the
/// server asked for none.
const MAX_UNWANTED: usize = 2;

/// Time after its deadline at which a request without an answer is overdue.
const SLACK: Duration = Duration::from_millis(500);

/// Overdue requests from which they may be a quarter of the unanswered ones only.
const MIN_OVERDUE: usize = 8;

/// Maximum share of its memory that a daemon may have at its peak.
const MAX_MEMORY_SHARE: f64 = 0.8;

/// Observations of a run.
#[derive(Debug)]
pub struct Evidence {
    /// Requests of the callers and their ends.
    pub exchanges: Vec<Exchange>,
    /// Requests that the backend servers began.
    pub record: Vec<record::Entry>,
    /// Disturbances.
    pub spans: Vec<Span>,
    /// Departures of backend servers.
    pub departures: Vec<Departure>,
    /// New starts of backend servers.
    pub starts: Vec<Start>,
    /// Disturbances of the links to backend servers.
    pub links: Vec<Link>,
    /// Faults of backend servers, which may break off their answers.
    pub faults: Vec<Link>,
    /// Memory that a daemon may have, in bytes.
    pub memory_limit: u64,
    /// Most memory that each daemon had, in bytes.
    pub peaks: Vec<u64>,
    /// Requests that reached the backend servers.
    pub arrivals: Vec<record::Arrival>,
    /// The time from which the times of arrivals count.
    pub counted_from: Instant,
    /// Violations found by the final check, after the end of all faults.
    pub unserved: Vec<String>,
    /// Logs of the daemons.
    pub logs: Vec<String>,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Requests.
    pub requests: usize,
    /// Requests answered with status 200.
    pub served: usize,
    /// Requests answered with another status.
    pub refused: usize,
    /// Requests without an answer.
    pub unanswered: usize,
}

impl Evidence {
    /// Returns the counts of the run.
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

    /// Returns a description of each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for entry in &self.record {
            *runs
                .entry(entry.id.as_deref().unwrap_or_default())
                .or_default() += 1;
        }
        let mut violations = self.unserved.clone();
        for exchange in &self.exchanges {
            let count = runs.get(&*exchange.id).copied().unwrap_or(0);
            violations.extend(self.check_exchange(exchange, count));
        }
        violations.extend(
            self.departures
                .iter()
                .filter_map(|left| self.late_request(left)),
        );
        violations.extend(self.unwanted_requests());
        violations.extend(self.overdue_requests());
        violations.extend(self.exceeded_memory());
        violations
    }

    /// Returns a violation if too many of the requests without an answer at their
    /// deadline had none [`SLACK`] later either, at undisturbed hosts.
    fn overdue_requests(&self) -> Option<String> {
        let unanswered_after = |slack: Duration| {
            let exchanges = self.exchanges.iter();
            let late = exchanges.filter(|exchange| {
                let taken = exchange.ended.saturating_duration_since(exchange.sent);
                taken > exchange.deadline + slack && self.is_undisturbed(exchange)
            });
            late.count()
        };
        let (unanswered, overdue) = (unanswered_after(Duration::ZERO), unanswered_after(SLACK));
        (overdue >= MIN_OVERDUE && 4 * overdue > unanswered).then(|| {
            format!("of {unanswered} requests without an answer at their deadline {overdue} had none {SLACK:?} later")
        })
    }

    /// Returns a violation for each host that had more memory than it may.
    fn exceeded_memory(&self) -> impl Iterator<Item = String> {
        let limit = (self.memory_limit as f64 * MAX_MEMORY_SHARE) as u64;
        let peaks = self.peaks.iter().enumerate();
        peaks
            .filter(move |(_, peak)| **peak > limit)
            .map(move |(host, peak)| {
                format!("host {host} had {peak} bytes of memory, of at most {limit}")
            })
    }

    /// Returns a violation for each host that sent requests to a server whose answer
    /// had told it that the server is leaving, or had asked for time: for the answer
    /// after which there were most, so that one fault doesn't hide others.
    fn unwanted_requests(&self) -> Vec<String> {
        let sent: HashMap<&str, &Exchange> = self
            .exchanges
            .iter()
            .map(|exchange| (&*exchange.id, exchange))
            .collect();
        let answers = self.arrivals.iter().filter_map(|arrival| {
            let says_something = arrival.is_leaving || arrival.retry_after.is_some();
            let exchange = sent.get(&*arrival.id).filter(|_| says_something)?;
            let told_at = self.at(arrival.answered_ms?);
            self.was_heard(arrival, exchange)
                .then_some((arrival, exchange.host, told_at))
        });
        let mut worst: BTreeMap<(usize, usize, bool), (usize, String)> = BTreeMap::new();
        for (answer, host, told_at) in answers {
            let until = match answer.retry_after {
                _ if answer.is_leaving => self.end_of_start(answer.server, told_at),
                Some(seconds) => Some(told_at + Duration::from_secs_f64(seconds)),
                None => continue,
            };
            let unwanted = self.arrivals.iter().filter(|arrival| {
                let at = self.at(arrival.at_ms);
                let Some(exchange) = sent.get(&*arrival.id) else {
                    return false;
                };
                let is_late = if answer.is_leaving {
                    exchange.sent > told_at + UNDER_WAY
                } else {
                    at > told_at + UNDER_WAY
                };
                let is_before = until.is_none_or(|until| at < until);
                let span = Span {
                    subject: Subject::Host(host),
                    from: told_at,
                    until: at,
                };
                arrival.server == answer.server
                    && exchange.host == host
                    && is_late
                    && is_before
                    && !span.overlaps_any(&self.spans, Some(host))
            });
            let ids: Vec<&str> = unwanted.map(|arrival| &*arrival.id).collect();
            let (server, count, told) = (answer.server, ids.len(), &answer.id);
            let what = if answer.is_leaving && count > 0 {
                format!("after it said to {told} that it leaves")
            } else if count > MAX_UNWANTED {
                format!("in the time for which it asked {told} for none")
            } else {
                continue;
            };
            let key = (server, host, answer.is_leaving);
            if worst.get(&key).is_none_or(|(most, _)| count > *most) {
                let ids = ids.join(" ");
                let text =
                    format!("server {server} got {count} requests from host {host} {what}: {ids}");
                worst.insert(key, (count, text));
            }
        }
        worst.into_values().map(|(_, text)| text).collect()
    }

    /// Returns whether the host certainly got the answer to `arrival`: it passed it
    /// on, or the link was undisturbed meanwhile. On a frozen link it may have given
    /// the attempt up before the answer came.
    fn was_heard(&self, arrival: &record::Arrival, exchange: &Exchange) -> bool {
        let mut attempts = self.arrivals.iter().filter(|other| other.id == arrival.id);
        let is_last = attempts.next_back() == Some(arrival);
        let is_answered = matches!(exchange.end, End::Answered { status: 200, .. });
        if is_last && is_answered && arrival.retry_after.is_none() {
            return true;
        }
        let from = self.at(arrival.at_ms);
        let until = self.at(arrival.answered_ms.unwrap_or(arrival.at_ms));
        let is_disturbed = |link: &Link| {
            link.upstream == arrival.server && link.from <= until && from <= link.until
        };
        !self.links.iter().any(is_disturbed)
    }

    /// Returns the time of `ms` milliseconds of the servers' clock.
    fn at(&self, ms: f64) -> Instant {
        self.counted_from + Duration::from_secs_f64(ms / 1e3)
    }

    /// Returns when the start of a server that ran at `at` was followed by
    /// another one.
    fn end_of_start(&self, upstream: usize, at: Instant) -> Option<Instant> {
        let starts = self
            .starts
            .iter()
            .filter(|start| start.upstream == upstream);
        starts
            .map(|start| start.at)
            .filter(|start| *start > at)
            .min()
    }

    fn check_exchange(&self, exchange: &Exchange, runs: usize) -> Option<String> {
        let is_once = matches!(exchange.kind, Kind::Order | Kind::Scan);
        let id = &exchange.id;
        if is_once && runs > 1 {
            return Some(format!("{id} ran {runs} times"));
        }
        match exchange.end {
            End::Answered {
                status: 200,
                is_valid: false,
            } => Some(format!(
                "{id} got an answer that is not its own or incomplete"
            )),
            End::Answered { status, .. }
                if is_once && matches!(status, 408 | 421 | 429 | 503) && runs > 0 =>
            {
                Some(format!("{id} was told {status} and ran"))
            }
            End::Answered { status: 404, .. } if self.is_undisturbed(exchange) => Some(format!(
                "{id} got 404 from host {} on a route of version {}",
                exchange.host, exchange.version
            )),
            End::Cut
                if runs > 0
                    && !self.is_disturbed(exchange)
                    && !(exchange.is_streamed && self.may_break_off(exchange)) =>
            {
                let taken = exchange.ended.saturating_duration_since(exchange.sent);
                Some(format!(
                    "{id} ({:?}) was cut at host {} after {taken:.1?} while a server worked on it",
                    exchange.kind, exchange.host
                ))
            }
            End::Silent if !self.is_disturbed(exchange) => {
                Some(format!("{id} got no answer from host {}", exchange.host))
            }
            _ => None,
        }
    }

    /// Returns whether an answer that is not held whole may have broken off: its deadline
    /// came, or a server that ran the request, or the link to it, was disturbed.
    fn may_break_off(&self, exchange: &Exchange) -> bool {
        if exchange.ended + DEADLINE_MARGIN >= exchange.sent + exchange.deadline {
            return true;
        }
        let ran = |server: usize| {
            let entries = self.record.iter();
            let mut own = entries.filter(|entry| entry.id.as_deref() == Some(&*exchange.id));
            own.any(|entry| entry.server == server)
        };
        self.links.iter().chain(&self.faults).any(|link| {
            link.from <= exchange.ended && exchange.sent <= link.until && ran(link.upstream)
        })
    }

    fn span(&self, exchange: &Exchange) -> Span {
        Span {
            subject: Subject::Store,
            from: exchange.sent,
            until: exchange.ended,
        }
    }

    /// Whether the host was undisturbed, and so must apply the newest
    /// configuration. A store fault for all hosts does not count: a route that
    /// was announced stays known while the store is unavailable.
    fn is_undisturbed(&self, exchange: &Exchange) -> bool {
        let request = Span {
            subject: Subject::Host(exchange.host),
            ..self.span(exchange)
        };
        !request.overlaps_any(&self.spans, Some(exchange.host))
    }

    /// Whether around the request the host was killed, suspended or started, or
    /// was the only one with a store fault.
    fn is_disturbed(&self, exchange: &Exchange) -> bool {
        !self.is_undisturbed(exchange)
    }

    /// Returns a violation if a server began a request more than [`BOUND`] after
    /// it had left, unless a disturbance falls into that time.
    fn late_request(&self, left: &Departure) -> Option<String> {
        let bound = Span {
            subject: Subject::Store,
            from: left.from,
            until: left.from + BOUND,
        };
        let is_disturbed = self.spans.iter().any(|span| {
            span.from <= bound.until + RECOVERY_MARGIN && bound.from <= span.until + RECOVERY_MARGIN
        });
        let late = self.record.iter().find(|entry| {
            let is_after = entry.number > left.last_number;
            let is_before = left.return_number.is_none_or(|back| entry.number <= back);
            entry.server == left.upstream && is_after && is_before
        })?;
        let id = late.id.as_deref().unwrap_or_default();
        (!is_disturbed).then(|| format!("server {} began {id} after it had left", left.upstream))
    }
}
