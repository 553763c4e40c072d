//! Entries that the store turns away take tables from others.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{Time, World, run, until};
use ebonylug_core::SystemClock;
use ebonylug_direct::follow::{
    Error, Fallback, Feed, Follower, PollPolicy, Result, Row, Rows, TableUpdate,
};
use ebonylug_direct::peers::Exchange;
use ebonylug_direct::server;
use ebonylug_direct::table_cache::TableCache;
use tokio::task::spawn_local;

/// A store that answers nobody.
struct Away(Rc<RefCell<Vec<u64>>>);

impl Feed for Away {
    async fn list(&self) -> Result<Rows> {
        Err(Error::Failed("turned away".into()))
    }

    async fn changes(&self, after: u64, _: Duration) -> Result<Rows> {
        self.0.borrow_mut().push(after);
        Err(Error::Failed("turned away".into()))
    }
}

fn row(key: &str, value: &str) -> Row {
    Row {
        key: key.into(),
        value: Some(value.into()),
    }
}

/// Starts an entry that talks to others.
async fn start(name: &str) -> (World, Rc<Exchange>, Rc<TableCache>) {
    let world = World::named(name).await;
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = server::listen(any).expect("a port");
    let address = listener.local_addr().expect("it is bound");
    let exchange = Exchange::bind(Rc::clone(&world.entry), address)
        .await
        .expect("the port is free for datagrams");
    let copies = TableCache::new(Rc::clone(&exchange));
    spawn_local(server::serve_tables(Rc::clone(&copies), listener));
    spawn_local(Rc::clone(&exchange).run_receiver());
    spawn_local(Rc::clone(&exchange).run_sender());
    (world, exchange, copies)
}

/// Makes the second entry known to the first, and waits until both have heard each other.
async fn meet(first: &World, exchange: &Rc<Exchange>, second: &World, other: &Rc<Exchange>) {
    let address = other.address().expect("it is bound");
    exchange.add_peer(second.entry.name().clone(), address);
    until("both have heard each other", || {
        first.entry.reachable_entries() == 2 && second.entry.reachable_entries() == 2
    })
    .await;
}

/// Guards against an entry that refuses callers, or serves them by an old configuration, because the store
/// turns it away while others have a newer one.
#[test]
fn an_entry_that_is_turned_away_takes_the_copy_of_another() {
    run(async {
        let (giver, giver_exchange, giver_copies) = start("entry-1").await;
        let (taker, taker_exchange, taker_copies) = start("entry-2").await;
        meet(&giver, &giver_exchange, &taker, &taker_exchange).await;
        let all = TableUpdate::Snapshot(vec![row("config", "a"), row("evacuate/z", "b")]);
        giver_copies.record("op", &all, 7);
        let removed = Row {
            key: "evacuate/z".into(),
            value: None,
        };
        let changed = TableUpdate::Delta(vec![row("config", "c"), removed]);
        giver_copies.record("op", &changed, 9);

        let told = Rc::new(RefCell::new(Vec::new()));
        let asked = Rc::default();
        let pace = PollPolicy {
            max_wait: Duration::from_secs(1),
            pause: Duration::ZERO,
            max_age: None,
        };
        let follower = Follower {
            name: "op",
            feed: Away(Rc::clone(&asked)),
            fallback: taker_copies,
            policy: Rc::new(Cell::new(pace)),
            clock: Arc::new(SystemClock),
            uptime: Box::new(Time::default()),
        };
        let tell = {
            let told = Rc::clone(&told);
            move |news, made: Option<_>| told.borrow_mut().push((news, made.is_some()))
        };
        spawn_local(follower.run(1, || None, tell));
        until("the store is asked again", || asked.borrow().len() > 2).await;

        // Once, as a copy that proves no time, and followed from its version.
        let copy = (TableUpdate::Snapshot(vec![row("config", "c")]), false);
        assert_eq!(*told.borrow(), [copy]);
        assert!(asked.borrow().iter().all(|&after| after == 9));
    });
}

/// Guards against an old table that replaces a newer one.
#[test]
fn an_older_copy_is_not_taken() {
    run(async {
        let (giver, giver_exchange, giver_copies) = start("entry-1").await;
        let (taker, taker_exchange, taker_copies) = start("entry-2").await;
        meet(&giver, &giver_exchange, &taker, &taker_exchange).await;
        let all = TableUpdate::Snapshot(vec![row("config", "a")]);
        giver_copies.record("op", &all, 7);
        assert_eq!(taker_copies.fetch_newer("op", 7).await, None);
        assert_eq!(taker_copies.fetch_newer("servers", 0).await, None);
        let newer = taker_copies
            .fetch_newer("op", 6)
            .await
            .expect("it is newer");
        assert_eq!((newer.version, newer.rows), (7, vec![row("config", "a")]));
    });
}

/// Guards against an entry that starts while the store turns it away and then acts as if it were alone: its
/// parts of quotas and budgets would be too large.
#[test]
fn an_entry_finds_the_others_through_one_of_them() {
    run(async {
        let (first, first_exchange, _) = start("entry-1").await;
        let (second, second_exchange, _) = start("entry-2").await;
        meet(&first, &first_exchange, &second, &second_exchange).await;
        let (third, third_exchange, third_copies) = start("entry-3").await;
        let seed = first_exchange.address().expect("it is bound");
        third_exchange.announce(&[seed]).await;
        third_copies.discover_peers().await;
        until("all have heard each other", || {
            let worlds = [&first, &second, &third];
            worlds
                .iter()
                .all(|world| world.entry.reachable_entries() == 3)
        })
        .await;
    });
}

/// Guards against an entry that others leave out while it still serves: its use of quotas is then counted by
/// nobody. Seen as 17 instead of 10 requests a second of an organisation while two of three entries stopped.
#[test]
fn an_entry_that_stops_is_counted_until_its_end() {
    run(async {
        let (first, first_exchange, _) = start("entry-1").await;
        let (second, second_exchange, _) = start("entry-2").await;
        meet(&first, &first_exchange, &second, &second_exchange).await;
        let (close, _closed) = tokio::sync::watch::channel(false);
        let stopping = spawn_local(server::stop(Rc::clone(&second.entry), close));
        until("it has stopped", || {
            let stopped = stopping.is_finished();
            assert!(stopped || first.entry.reachable_entries() == 2);
            stopped
        })
        .await;
        stopping.await.expect("it stops");
        second_exchange.send_due(true).await;
        until("the other is gone", || first.entry.reachable_entries() == 1).await;
    });
}
