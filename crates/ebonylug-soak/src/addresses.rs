//! Loopback addresses of the processes of a run.

use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};

/// Port that a soak holds in its block of addresses for as long as it runs.
const BLOCK_PORT: u16 = 7_000;

/// The loopback addresses of a run, so that the ports of concurrent runs do not collide.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AddressRange(u8, u8);

impl AddressRange {
    /// Returns addresses that no other run has, in this process or in another one.
    pub(crate) fn next() -> Self {
        static RUNS: AtomicU8 = AtomicU8::new(0);
        static BLOCK: OnceLock<(u8, Option<TcpListener>)> = OnceLock::new();
        let (second, _) = BLOCK.get_or_init(reserve_block);
        AddressRange(*second, RUNS.fetch_add(2, Ordering::Relaxed))
    }

    pub(crate) fn entry(self, index: usize) -> IpAddr {
        let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.0, self.1, last).into()
    }

    pub(crate) fn engine(self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.0, self.1.wrapping_add(1), number).into()
    }
}

/// Returns the second octet of addresses that no other soak uses, and the listener that reserves it. The octet is not
/// 0, since other programs listen in 127.0.0.0/16.
fn reserve_block() -> (u8, Option<TcpListener>) {
    let first = std::process::id() % 250;
    let octet = |offset| u8::try_from((first + offset) % 250 + 1).unwrap_or(1);
    let mut free = (0..250).map(octet).filter_map(|octet| {
        let address = Ipv4Addr::new(127, octet, 0, 254);
        let listener = TcpListener::bind((address, BLOCK_PORT)).ok()?;
        Some((octet, Some(listener)))
    });
    free.next().unwrap_or((octet(0), None))
}
