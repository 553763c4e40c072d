/// Why a fake could not be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address of the settings.
        addr: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A setting is out of range.
    #[error("setting `{field}`: {reason}")]
    Setting {
        /// The name of the setting.
        field: &'static str,
        /// What is wrong with it.
        reason: Box<str>,
    },
    /// The settings file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the file.
        path: Box<str>,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings file is not valid.
    #[error("{path}:{line}:{column}: {reason}")]
    Parse {
        /// The path of the file.
        path: Box<str>,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What is wrong.
        reason: Box<str>,
    },
}

/// The result of starting a fake.
pub type Result<T, E = Error> = std::result::Result<T, E>;
