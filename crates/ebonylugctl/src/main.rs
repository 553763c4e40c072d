//! Entry point of the command line for operators.

use std::io;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use ebonylugctl::{Console, Environment, Outcome};

/// Width in columns at which help texts are wrapped.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let arguments = match ebonylugctl::parse(Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => Outcome::Refused.into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Outcome::Done.into(),
            };
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    let mut console = Console {
        input: &mut io::stdin().lock(),
        output: &mut io::stdout().lock(),
        errors: &mut io::stderr().lock(),
    };
    let environment = Environment::from_process();
    let run = ebonylugctl::run(&arguments, &environment, &mut console);
    runtime.block_on(run).into()
}
