//! The cases.

pub mod drain;
pub mod lost;
pub mod poison;
pub mod promise;

/// The result of a case.
pub enum Outcome {
    Broken(String),
    Held(String),
    Unable(String),
}
