//! The operators' command line.
//!
//! It talks to the resource API of an entry. The parts are kept apart so that tests can run a
//! command without a process: [`parse`] reads the arguments, [`run`] carries them out with the
//! inputs and outputs of a [`Console`], and the [`Outcome`] is the exit code.
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

/// Reads the arguments of a command line.
///
/// # Errors
///
/// Fails with the text for standard output if help or version is asked for, and with the text for
/// standard error if an argument is not valid.
pub fn parse(arguments: Args) -> std::result::Result<Arguments, ParseFailure> {
    arguments::arguments().run_inner(arguments)
}

/// Carries out a command. Errors are written to the console.
pub async fn run(
    arguments: &Arguments,
    environment: &Environment,
    console: &mut Console<'_>,
) -> Outcome {
    match command::run(arguments, environment, console).await {
        Ok(outcome) => outcome,
        // A reader that has seen enough, such as `head`, is no error.
        Err(error) if error.outcome() == Outcome::Done => Outcome::Done,
        Err(error) => {
            // Without standard error, only the exit code is left to report.
            let _ = writeln!(console.errors, "{error}");
            error.outcome()
        }
    }
}
