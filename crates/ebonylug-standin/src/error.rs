/// An error while starting a fake.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The listener cannot be bound to the address.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The configured address.
        addr: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A setting is out of range.
    #[error("setting `{field}`: {reason}")]
    Setting {
        /// The name of the setting.
        field: &'static str,
        /// The violated constraint.
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
        /// The message of the parser.
        reason: Box<str>,
    },
}

/// The result of loading settings, or of starting or configuring a fake.
pub type Result<T, E = Error> = std::result::Result<T, E>;
