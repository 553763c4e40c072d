use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{ExitStatus, Stdio};

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use tokio::process::{Child, ChildStdout, Command};

use crate::{Error, Result};

/// A child process, which is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    handle: Handle,
}

/// Sends signals to a process. Uses a pidfd, because a process id may be reused after the process has exited.
#[derive(Debug)]
pub(crate) struct Handle(OwnedFd);

impl Handle {
    /// Sends a signal. Returns whether the process still existed.
    pub(crate) fn signal(&self, signal: Signal) -> bool {
        pidfd_send_signal(&self.0, signal).is_ok()
    }

    pub(crate) fn try_clone(&self) -> Result<Self> {
        let setup = |error| Error::Setup("a process handle".into(), error);
        self.0.try_clone().map(Handle).map_err(setup)
    }
}

impl Process {
    /// Starts a program. Its standard output is appended to the log file, or piped if there is none.
    pub(crate) fn start(program: &Path, arguments: &[&str], log: Option<&Path>) -> Result<Self> {
        let setup = |error| Error::Setup(program.display().to_string().into(), error);
        let output = match log {
            Some(path) => {
                let mut options = std::fs::OpenOptions::new();
                let file = options.create(true).append(true).open(path);
                Stdio::from(file.map_err(setup)?)
            }
            None => Stdio::piped(),
        };
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .kill_on_drop(true)
            .spawn()
            .map_err(setup)?;
        let pid = child
            .id()
            .and_then(|pid| i32::try_from(pid).ok())
            .and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| Error::Start("a process ended at its start".into()))?;
        let handle = pidfd_open(pid, PidfdFlags::empty()).map_err(|error| setup(error.into()))?;
        Ok(Process {
            child,
            handle: Handle(handle),
        })
    }

    /// Takes the standard output of a piped process.
    pub(crate) fn output(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Waits until the process exits.
    pub(crate) async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}
