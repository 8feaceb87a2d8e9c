//! A platform in memory, for tests of what is built on [`Store`].

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, VecDeque},
};

use bytes::Bytes;
use error_stack::Report;
use futures_util::{FutureExt, future::LocalBoxFuture};

use super::{Condition, Current, Error, Host, Kind, Result, Row, Store, Write};

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    LostRequest,
    LostAnswer,
    Busy,
}

#[derive(Default)]
struct State {
    table: BTreeMap<String, String>,
    objects: HashMap<String, Bytes>,
    hosts: Vec<Host>,
    down: bool,
    faults: VecDeque<Fault>,
    writes: usize,
}

/// Table, objects and host list in memory, with injected faults.
#[derive(Default)]
pub struct Memory {
    state: RefCell<State>,
}

impl Memory {
    /// An empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// While down, every call fails without effect.
    pub fn set_down(&self, down: bool) {
        self.state.borrow_mut().down = down;
    }

    /// The next transaction not yet given a fault does not arrive.
    pub fn lose_request(&self) {
        self.state.borrow_mut().faults.push_back(Fault::LostRequest);
    }

    /// The next transaction not yet given a fault takes effect, and its
    /// answer is lost.
    pub fn lose_response(&self) {
        self.state.borrow_mut().faults.push_back(Fault::LostAnswer);
    }

    /// The next transaction not yet given a fault exceeds the rate limit.
    pub fn exceed_rate_limit(&self) {
        self.state.borrow_mut().faults.push_back(Fault::Busy);
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.state.borrow_mut().hosts = hosts;
    }

    /// Transactions that took effect.
    pub fn applied_transactions(&self) -> usize {
        self.state.borrow().writes
    }

    fn run<'a, T: 'a>(
        &'a self,
        call: impl FnOnce(&mut State) -> Result<T> + 'a,
    ) -> LocalBoxFuture<'a, Result<T>> {
        async move {
            // Callers that run at the same time interleave between calls.
            tokio::task::yield_now().await;
            let mut state = self.state.borrow_mut();
            if state.down {
                return Err(unavailable());
            }
            call(&mut state)
        }
        .boxed_local()
    }
}

fn unavailable() -> Report<Error> {
    Report::new(Error::new(Kind::Unavailable, "no answer"))
}

impl State {
    fn transact(&mut self, conditions: &[Condition], writes: &[Write]) -> Result<()> {
        let holds = conditions
            .iter()
            .all(|condition| self.table.get(&condition.key) == condition.equals.as_ref());
        if !holds {
            let current = conditions.iter().map(|condition| Current {
                key: condition.key.clone(),
                value: self.table.get(&condition.key).cloned(),
            });
            return Err(Report::new(Error::conflict(current.collect())));
        }
        self.writes += 1;
        for write in writes {
            match &write.value {
                Some(value) => self.table.insert(write.key.clone(), value.clone()),
                None => self.table.remove(&write.key),
            };
        }
        Ok(())
    }
}

impl Store for Memory {
    fn transact<'a>(
        &'a self,
        conditions: &'a [Condition],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<()>> {
        self.run(move |state| match state.faults.pop_front() {
            Some(Fault::LostRequest) => Err(unavailable()),
            Some(Fault::Busy) => Err(Report::new(Error::new(Kind::RateLimited, "rate limit"))),
            Some(Fault::LostAnswer) => {
                let _ = state.transact(conditions, writes);
                Err(unavailable())
            }
            None => state.transact(conditions, writes),
        })
    }

    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>> {
        self.run(move |state| Ok(state.table.get(key).cloned()))
    }

    fn rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        self.run(move |state| {
            let rows = state
                .table
                .iter()
                .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                .take(limit)
                .map(|(key, value)| Row {
                    key: key.clone(),
                    value: value.clone(),
                });
            Ok(rows.collect())
        })
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        self.run(move |state| {
            state.objects.insert(name.to_owned(), body);
            Ok(())
        })
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        self.run(move |state| Ok(state.objects.get(name).cloned()))
    }

    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<Host>>> {
        self.run(|state| Ok(state.hosts.clone()))
    }
}
