//! Tests of the log queue with an output that blocks.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};

use ebonylug_net::logs::non_blocking;

/// An output whose writes block until the test ends.
struct Stalled(Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Returns with an error when the test drops the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks when the reader of its log stalls, or that keeps all lines
/// in memory.
#[test]
fn a_stalled_reader_does_not_block_writers() {
    let (release, stalled) = channel();
    let (mut writer, log) = non_blocking(Stalled(stalled));
    for _ in 0..100_000 {
        writer
            .write_all(b"a line\n")
            .expect("lines are queued or dropped");
    }
    // The queue is bounded, so most lines are dropped and counted.
    assert!(
        log.dropped_lines() > 90_000,
        "{} dropped",
        log.dropped_lines()
    );
    drop(release);
}
