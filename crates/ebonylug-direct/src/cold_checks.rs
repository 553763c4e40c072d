//! Asks targets whether they are cold, while the platform's store cannot say so.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonylug_dispatch::{ColdCheck, TableState, Target};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};

use crate::entry::Entry;
use crate::pool::PooledConnection;
use crate::request::header_number;
use crate::state::State;

/// Maximum time of a check. A target that is busy answers when a slot is free.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

impl State {
    /// Updates whether the rows of targets are known to be current.
    pub(crate) fn update_row_age(
        &mut self,
        now: Instant,
        tables: TableState,
        age: Option<Duration>,
    ) {
        // An entry that starts reads the rows before it needs them.
        let starts = !tables.failing && !self.row_age.has_rows();
        let reading = tables.reads_targets || self.peers.any_reads_targets(now) || starts;
        let current = self.row_age.is_current(now, reading, age);
        if current != self.scheduler.has_current_rows() {
            tracing::info!(
                part = "targets",
                current,
                reading,
                "rows of targets known to be current"
            );
        }
        self.scheduler.set_rows_current(now, current);
    }
}

impl Entry {
    /// Checks the targets that may have become cold unnoticed and that get many requests.
    pub(crate) fn check_cold_targets(self: &Rc<Self>) {
        let now = self.clock.now();
        let tables = self.table_state();
        let mut state = self.state.borrow_mut();
        let age = state.freshness.age(self.uptime.uptime());
        state.update_row_age(now, tables, age);
        if state.scheduler.has_current_rows() {
            self.check_connections.borrow_mut().clear();
            return;
        }
        let due = state.scheduler.take_checks(now);
        drop(state);
        for due in due {
            tokio::task::spawn_local(check(Rc::clone(self), due));
        }
    }
}

/// Checks a target, and records the result.
async fn check(entry: Rc<Entry>, check: ColdCheck) {
    let suspensions = entry.suspensions();
    let checked = tokio::time::timeout(CHECK_TIMEOUT, ask(&entry, &check)).await;
    let lasting = entry.suspensions() == suspensions;
    // An answer from before a suspension shows that a target is cold, but not that it is warm.
    let cold = checked
        .ok()
        .flatten()
        .filter(|time| lasting || !time.is_zero());
    entry.instruments.count_cold_check(cold);
    let now = entry.clock.now();
    entry
        .state
        .borrow_mut()
        .scheduler
        .end_check(now, &check, cold);
    entry.dispatch_waiting();
}

/// Returns the time for which a target stays cold by its own words, or `None` if it does not tell.
async fn ask(entry: &Entry, check: &ColdCheck) -> Option<Duration> {
    let (target, address) = (check.target, check.address);
    let info = entry.target(target)?;
    let path = health_path(entry, &info)?;
    let kept = entry.check_connections.borrow_mut().remove(&target);
    // An earlier start of the target may still answer at another address.
    let usable = |kept: &PooledConnection| !kept.is_closed() && kept.address() == address;
    let mut connection = match kept.filter(usable) {
        Some(connection) => connection,
        None => entry.pool.open(target, address).await.ok()?,
    };
    let request = Request::get(&*path)
        .header(header::HOST, address.to_string())
        .header(&entry.dialect.expected_target, info.name.as_str())
        .body(Full::<Bytes>::default())
        .ok()?;
    let max_head = entry.bounds.get().responses.head;
    let response = connection.send(request, max_head).await.ok()?;
    let (head, body) = response.into_parts();
    let cold = header_number(&head.headers, &entry.dialect.cold_time);
    let limit = entry.bounds.get().responses.head;
    let body = http_body_util::Limited::new(body, limit).collect().await;
    if body.is_ok() {
        keep(entry, connection);
    }
    match (cold, head.status) {
        (Some(millis), _) if millis > 0 => Some(Duration::from_millis(millis)),
        (_, StatusCode::OK) => Some(Duration::ZERO),
        _ => None,
    }
}

fn health_path(entry: &Entry, target: &Target) -> Option<Box<str>> {
    let state = entry.state.borrow();
    let service = state.config.as_ref()?.service(target.service.as_str())?;
    Some(service.health_path.clone()).filter(|path| !path.is_empty())
}

/// Keeps a connection for the next check. Requests do not use it: a late copy of the response to a check must not be
/// taken for that to a request.
fn keep(entry: &Entry, connection: PooledConnection) {
    if !entry.state.borrow().scheduler.has_current_rows() {
        entry
            .check_connections
            .borrow_mut()
            .insert(connection.target(), connection);
    }
}
