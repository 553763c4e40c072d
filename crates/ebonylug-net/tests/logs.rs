//! The log of a process whose reader stalls.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};

use ebonylug_net::logs::non_blocking;

/// Output that nobody reads until the test ends.
struct Stalled(Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the test has ended.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that waits for the reader of its log, or holds all lines in memory.
#[test]
fn a_stalled_reader_holds_up_nothing() {
    let (release, stalled) = channel();
    let (mut writer, log) = non_blocking(Stalled(stalled));
    for _ in 0..100_000 {
        writer
            .write_all(b"a line\n")
            .expect("lines are taken or dropped");
    }
    // The queue has a bound, so most lines are dropped and counted.
    assert!(
        log.dropped_lines() > 90_000,
        "{} dropped",
        log.dropped_lines()
    );
    drop(release);
}
