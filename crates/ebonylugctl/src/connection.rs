use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use http::HeaderValue;

use crate::{Error, Result};

/// Environment variable with the address of an entry.
const SERVER_VARIABLE: &str = "EBONYLUG_SERVER";
/// Environment variable with the bearer token of the operator.
const TOKEN_VARIABLE: &str = "EBONYLUG_TOKEN";

/// The address of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server(pub SocketAddr);

impl FromStr for Server {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let address = text
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'));
        let address = address.and_then(|address| address.parse().ok());
        let reason = || format!("{text:?} is not an address such as \"http://127.0.0.1:7101\"");
        address.map(Server).ok_or_else(reason)
    }
}

impl fmt::Display for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

/// The options that select the entry and the token.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Connection {
    /// Address of any entry, such as http://127.0.0.1:7101; by default that in EBONYLUG_SERVER
    #[bpaf(argument("URL"))]
    pub server: Option<Server>,
    /// File that holds the operator's token; by default the token is in EBONYLUG_TOKEN
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
}

/// Environment variables that select the entry and the token.
#[derive(Clone, Default)]
pub struct Environment {
    /// Value of `EBONYLUG_SERVER`.
    pub server: Option<Box<str>>,
    /// Value of `EBONYLUG_TOKEN`.
    pub token: Option<Box<str>>,
}

impl Environment {
    /// Reads the environment variables of this process.
    #[must_use]
    pub fn from_process() -> Self {
        let variable = |name| std::env::var(name).ok().map(String::into_boxed_str);
        Environment {
            server: variable(SERVER_VARIABLE),
            token: variable(TOKEN_VARIABLE),
        }
    }
}

impl fmt::Debug for Environment {
    /// Omits the token, which is secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("Environment");
        shown.field("server", &self.server).finish_non_exhaustive()
    }
}

impl Connection {
    /// Returns the address of the entry. The command line takes precedence over the environment.
    pub fn address(&self, environment: &Environment) -> Result<Server> {
        match (self.server, &environment.server) {
            (Some(server), _) => Ok(server),
            (None, Some(text)) => {
                let invalid = |reason| Error::invalid_input(format!("{SERVER_VARIABLE}: {reason}"));
                text.parse().map_err(invalid)
            }
            (None, None) => {
                let reason = format!("no entry is named: use --server or set {SERVER_VARIABLE}");
                Err(Error::invalid_input(reason))
            }
        }
    }

    /// Returns the `Authorization` header with the operator's token. Errors never contain the token.
    pub fn authorization(&self, environment: &Environment) -> Result<HeaderValue> {
        let token = match (&self.token_file, &environment.token) {
            (Some(file), _) => {
                let unreadable = |error| format!("{}: {error}", file.display());
                let text = std::fs::read_to_string(file).map_err(unreadable);
                text.map_err(Error::invalid_input)?.trim().into()
            }
            (None, Some(token)) => token.clone(),
            (None, None) => {
                let reason = format!("no token is given: set {TOKEN_VARIABLE} or use --token-file");
                return Err(Error::invalid_input(reason));
            }
        };
        if !is_valid_token(&token) {
            return Err(Error::invalid_input(
                "the token is empty or not visible ASCII",
            ));
        }
        let value = HeaderValue::from_str(&format!("Bearer {token}"));
        let mut value =
            value.map_err(|_| Error::invalid_input("the token is not visible ASCII"))?;
        value.set_sensitive(true);
        Ok(value)
    }
}

/// Reports whether `text` can be sent as a bearer token.
pub fn is_valid_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
