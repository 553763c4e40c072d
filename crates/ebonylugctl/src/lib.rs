//! Command line for operators.
//!
//! Commands call the resource API of an entry. Parsing and execution are separate so that tests can
//! run commands in process: [`parse`] parses the arguments, [`run`] executes the command with the
//! streams of a [`Console`], and the [`Outcome`] determines the exit code.
//!
//! ```
//! use bpaf::Args;
//! use ebonylugctl::{Console, Environment, Outcome, parse, run};
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
//! let arguments = parse(Args::from(&["hash-token"])).expect("the arguments are valid");
//! let (mut output, mut errors) = (Vec::new(), Vec::new());
//! let mut console = Console {
//!     input: &mut &b"fibras-demo-token\n"[..],
//!     output: &mut output,
//!     errors: &mut errors,
//! };
//! let outcome = runtime.block_on(run(&arguments, &Environment::default(), &mut console));
//! assert_eq!(outcome, Outcome::Done);
//! assert!(output.starts_with(b"9f33f8258afb9598"));
//! ```

mod api;
mod arguments;
mod command;
mod connection;
mod console;
mod error;
mod explain;
mod outcome;
mod output;

use bpaf::{Args, ParseFailure};

pub use arguments::Arguments;
pub use connection::Environment;
pub use console::Console;
pub use error::{Error, Result};
pub use outcome::Outcome;

/// Parses the arguments of a command line.
///
/// # Errors
///
/// Returns the text for standard output if the help or the version is requested, and the text for
/// standard error if an argument is not valid.
pub fn parse(arguments: Args) -> std::result::Result<Arguments, ParseFailure> {
    arguments::arguments().run_inner(arguments)
}

/// Executes a command and writes errors to the console.
pub async fn run(
    arguments: &Arguments,
    environment: &Environment,
    console: &mut Console<'_>,
) -> Outcome {
    match command::run(arguments, environment, console).await {
        Ok(outcome) => outcome,
        // A reader such as `head` that closes the pipe early is not an error.
        Err(error) if error.outcome() == Outcome::Done => Outcome::Done,
        Err(error) => {
            // If standard error cannot be written, the exit code still reports the error.
            let _ = writeln!(console.errors, "{error}");
            error.outcome()
        }
    }
}
