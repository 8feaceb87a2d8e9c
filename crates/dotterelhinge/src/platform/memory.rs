//! [`Store`] in memory, for tests of code that uses one.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, VecDeque},
};

use bytes::Bytes;
use error_stack::Report;
use futures_util::{FutureExt, future::LocalBoxFuture};

use super::{Condition, Current, Error, Host, Kind, Result, Row, Store, Write};

/// Injected fault of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    LostRequest,
    LostResponse,
    RateLimited,
}

#[derive(Default)]
struct State {
    table: BTreeMap<String, String>,
    objects: HashMap<String, Bytes>,
    hosts: Vec<Host>,
    down: bool,
    faults: VecDeque<Fault>,
    applied_transactions: usize,
}

/// Table, objects and host list in memory, with fault injection.
#[derive(Default)]
pub struct Memory {
    state: RefCell<State>,
}

impl Memory {
    /// Returns an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the platform is down. While it is, every call fails without
    /// effect.
    pub fn set_down(&self, down: bool) {
        self.state.borrow_mut().down = down;
    }

    /// Loses the request of a transaction: the next one that has no fault
    /// assigned yet has no effect and gets no response.
    pub fn lose_request(&self) {
        self.state.borrow_mut().faults.push_back(Fault::LostRequest);
    }

    /// Loses the response of a transaction: the next one that has no fault
    /// assigned yet takes effect but gets no response.
    pub fn lose_response(&self) {
        self.state
            .borrow_mut()
            .faults
            .push_back(Fault::LostResponse);
    }

    /// Rejects the next transaction that has no fault assigned yet, because of
    /// the rate limit.
    pub fn exceed_rate_limit(&self) {
        self.state.borrow_mut().faults.push_back(Fault::RateLimited);
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.state.borrow_mut().hosts = hosts;
    }

    /// Returns the number of transactions that took effect.
    pub fn applied_transactions(&self) -> usize {
        self.state.borrow().applied_transactions
    }

    fn run<'a, T: 'a>(
        &'a self,
        call: impl FnOnce(&mut State) -> Result<T> + 'a,
    ) -> LocalBoxFuture<'a, Result<T>> {
        async move {
            // Lets calls of concurrent callers interleave.
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
    Report::new(Error::new(Kind::Unavailable, "no response"))
}

impl State {
    fn transact(&mut self, conditions: &[Condition], writes: &[Write]) -> Result<()> {
        let all_hold = conditions
            .iter()
            .all(|condition| self.table.get(&condition.key) == condition.equals.as_ref());
        if !all_hold {
            let current = conditions.iter().map(|condition| Current {
                key: condition.key.clone(),
                value: self.table.get(&condition.key).cloned(),
            });
            return Err(Report::new(Error::conflict(current.collect())));
        }
        self.applied_transactions += 1;
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
            Some(Fault::RateLimited) => Err(Report::new(Error::new(
                Kind::RateLimited,
                "rate limit exceeded",
            ))),
            Some(Fault::LostResponse) => {
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
