use std::io::Read;

use ebonylug_resource::TokenHash;

use crate::connection::is_valid_token;
use crate::{Console, Error, Outcome, Result};

const MAX_TOKEN_BYTES: u64 = 4096;

/// Prints the hash of the token that is read from standard input.
pub fn hash(console: &mut Console<'_>) -> Result<Outcome> {
    let mut text = String::new();
    let unreadable = |error| Error::invalid_input(format!("standard input: {error}"));
    let mut input = (&mut *console.input).take(MAX_TOKEN_BYTES + 1);
    input.read_to_string(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MAX_TOKEN_BYTES {
        return Err(Error::invalid_input("the token is too long"));
    }
    let token = text.trim();
    if !is_valid_token(token) {
        return Err(Error::invalid_input(
            "the token is empty or not visible ASCII",
        ));
    }
    console.line(TokenHash::of(token))?;
    Ok(Outcome::Done)
}
