use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use bpaf::Bpaf;

use ebonylug_core::{CrashCause, Name, RequestId, Revision};
use ebonylug_resource::{Kind, Share, Span, Timestamp};

use crate::connection::{Connection, connection};
use crate::output::Format;

/// Exit codes, printed below the help.
const FOOTER: &str = "Exit codes:
 0  done
 1  no answer of the entry or of the store
 2  bad arguments, or refused by validation
 3  lost a race: a concurrent change won
 4  the move was rolled back
 5  the move was refused
 6  timed out
 7  not permitted";

/// Operates ebonylug: shows and changes resources, drains zones, moves versions
#[derive(Clone, Debug, PartialEq, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub struct Arguments {
    #[bpaf(external(connection))]
    pub(crate) connection: Connection,
    #[bpaf(external(command))]
    pub(crate) command: Command,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) enum Command {
    /// Show resources
    #[bpaf(command)]
    Get(#[bpaf(external(get))] Get),
    /// Create or replace the resources in a file, all or none
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Remove a resource
    #[bpaf(command)]
    Delete(#[bpaf(external(delete))] Delete),
    /// Show changes of resources as they are accepted
    #[bpaf(command)]
    Watch(#[bpaf(external(watch))] Watch),
    /// Take a zone out of service
    #[bpaf(command)]
    Drain(#[bpaf(external(zone))] Zone),
    /// Return a zone to service
    #[bpaf(command)]
    Restore(#[bpaf(external(zone))] Zone),
    /// Move the traffic of a route to another version
    #[bpaf(command)]
    Move(#[bpaf(external(planned_move))] PlannedMove),
    /// Show what happened, over all processes in causal order
    #[bpaf(command)]
    Events(#[bpaf(external(events))] Events),
    /// Explain the outcome of a request from the logs of all processes
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
    /// Show the active state of an entry on the platform; the server is its metrics address
    #[bpaf(command)]
    State(#[bpaf(external(state))] State),
    /// Show or release requests that are refused because they crash targets
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine))] Quarantine),
    /// Print the hash of the token on standard input, for settings and resources
    #[bpaf(command("hash-token"))]
    HashToken,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Explain {
    /// The id of the request, as its caller sent it
    #[bpaf(positional("REQUEST_ID"))]
    pub request: String,
    /// Log files; standard input by default
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct State {
    #[bpaf(external(connection))]
    pub connection: Connection,
    #[bpaf(external(output_format))]
    pub output: Format,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Get {
    #[bpaf(external(connection))]
    pub connection: Connection,
    #[bpaf(external(output_format))]
    pub output: Format,
    /// Kind of resource, singular or plural; "zone" stands for "availabilityzone"
    #[bpaf(positional::<String>("KIND"), parse(parse_kind))]
    pub kind: Kind,
    /// Name of one resource; all of the kind by default
    #[bpaf(positional::<String>("NAME"), parse(parse_name), optional)]
    pub name: Option<Name>,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Apply {
    #[bpaf(external(connection))]
    pub connection: Connection,
    #[bpaf(external(output_format))]
    pub output: Format,
    /// File with one resource or a list: JSON with comments; "-" is standard input
    #[bpaf(short('f'), long, argument("FILE"))]
    pub file: PathBuf,
    /// Check the change without publishing it
    pub dry_run: bool,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Delete {
    #[bpaf(external(connection))]
    pub connection: Connection,
    /// Check the change without publishing it
    pub dry_run: bool,
    /// Kind of resource, singular or plural
    #[bpaf(positional::<String>("KIND"), parse(parse_kind))]
    pub kind: Kind,
    /// Name of the resource
    #[bpaf(positional::<String>("NAME"), parse(parse_name))]
    pub name: Name,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Watch {
    #[bpaf(external(connection))]
    pub connection: Connection,
    #[bpaf(external(output_format))]
    pub output: Format,
    /// Show changes after this revision; by default those from now on
    #[bpaf(argument("REVISION"))]
    pub since: Option<Revision>,
    /// End after this number of changes
    #[bpaf(argument("COUNT"))]
    pub limit: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Zone {
    #[bpaf(external(connection))]
    pub connection: Connection,
    /// Name of the zone
    #[bpaf(positional::<String>("ZONE"), parse(parse_name))]
    pub zone: Name,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct PlannedMove {
    #[bpaf(external(connection))]
    pub connection: Connection,
    /// When the new version must have all traffic: a time from now such as 30m, or a UTC time such
    /// as 2026-03-01T06:00:00Z
    #[bpaf(argument("TIME"))]
    pub by: TimeArgument,
    /// When the new version gets its first traffic, in the same form; now by default
    #[bpaf(argument("TIME"))]
    pub start: Option<TimeArgument>,
    /// Name of the move; by default made of route, version and time
    #[bpaf(argument::<String>("NAME"), parse(parse_name), optional)]
    pub name: Option<Name>,
    /// Share of traffic at the start, from 0 to 1; 0.01 by default
    #[bpaf(argument::<f64>("SHARE"), parse(parse_share), fallback(Share::from_millionths(10_000)))]
    pub canary: Share,
    /// Target that is to load the new version; may be given several times, in order
    #[bpaf(argument::<String>("TARGET"), parse(parse_name), many)]
    pub load: Vec<Name>,
    /// Wait until the move is finished, rolled back or refused
    pub wait: bool,
    /// Longest time to wait; by default until one minute after the deadline
    #[bpaf(argument("TIME"))]
    pub timeout: Option<Span>,
    /// Name of the route
    #[bpaf(positional::<String>("ROUTE"), parse(parse_name))]
    pub route: Name,
    /// Name of the version that takes over
    #[bpaf(positional::<String>("TO"), parse(parse_name))]
    pub to: Name,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct Events {
    #[bpaf(external(connection))]
    pub connection: Connection,
    #[bpaf(external(output_format))]
    pub output: Format,
    /// Write a page with a time line to a file instead
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
    /// Only events of this request: the value of the header ebonylug-request
    #[bpaf(argument("ID"))]
    pub request: Option<RequestId>,
    /// Only events of this move
    #[bpaf(long("move"), argument::<String>("NAME"), parse(parse_name), optional)]
    pub version_move: Option<Name>,
    /// Only events about this zone or in it
    #[bpaf(argument::<String>("NAME"), parse(parse_name), optional)]
    pub zone: Option<Name>,
    /// Only events of this target
    #[bpaf(argument::<String>("NAME"), parse(parse_name), optional)]
    pub target: Option<Name>,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) enum Quarantine {
    /// Show what is in quarantine
    #[bpaf(command)]
    List(#[bpaf(external(quarantine_list))] QuarantineList),
    /// Allow requests with a quarantined content or prompt part again
    #[bpaf(command)]
    Release(#[bpaf(external(quarantine_release))] QuarantineRelease),
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct QuarantineList {
    #[bpaf(external(connection))]
    pub connection: Connection,
    #[bpaf(external(output_format))]
    pub output: Format,
}

#[derive(Clone, Debug, PartialEq, Bpaf)]
pub(crate) struct QuarantineRelease {
    #[bpaf(external(connection))]
    pub connection: Connection,
    /// Fingerprint, as the list shows it
    #[bpaf(positional("FINGERPRINT"))]
    pub cause: CrashCause,
}

impl Arguments {
    /// Returns the connection options. Those after the command take precedence over those before it.
    pub(crate) fn connection(&self) -> Connection {
        let inner = match &self.command {
            Command::Get(get) => &get.connection,
            Command::Apply(apply) => &apply.connection,
            Command::Delete(delete) => &delete.connection,
            Command::Watch(watch) => &watch.connection,
            Command::Drain(zone) | Command::Restore(zone) => &zone.connection,
            Command::Move(planned) => &planned.connection,
            Command::Events(events) => &events.connection,
            Command::State(state) => &state.connection,
            Command::Quarantine(Quarantine::List(list)) => &list.connection,
            Command::Quarantine(Quarantine::Release(release)) => &release.connection,
            Command::Explain(_) | Command::HashToken => &self.connection,
        };
        let outer = &self.connection;
        Connection {
            server: inner.server.or(outer.server),
            token_file: inner.token_file.clone().or(outer.token_file.clone()),
        }
    }
}

/// Limit on a relative time, about 1000 years, so that adding it to the clock does not overflow.
const MAX_SPAN: Duration = Duration::from_secs(1000 * 365 * 86_400);

/// A point in time as given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimeArgument {
    /// A UTC time.
    Absolute(Timestamp),
    /// A time from now.
    Relative(Duration),
}

impl TimeArgument {
    /// Returns the absolute time, with relative times added to `now`.
    pub fn resolve(self, now: SystemTime) -> Timestamp {
        match self {
            TimeArgument::Absolute(time) => time,
            TimeArgument::Relative(span) => Timestamp::new(now + span.min(MAX_SPAN)),
        }
    }
}

impl FromStr for TimeArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Ok(time) = text.parse() {
            return Ok(TimeArgument::Absolute(time));
        }
        let span = text
            .parse::<Span>()
            .map(|span| TimeArgument::Relative(span.0));
        span.map_err(|_| {
            format!("{text:?} is neither a time from now such as \"30m\" nor a UTC time such as \"2026-03-01T06:00:00Z\"")
        })
    }
}

fn output_format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser;
    bpaf::short('o')
        .long("output")
        .help("Form of the output: text (default) or json")
        .argument("FORMAT")
        .fallback(Format::Text)
}

fn parse_kind(text: String) -> Result<Kind, String> {
    if ["zone", "zones"]
        .iter()
        .any(|alias| text.eq_ignore_ascii_case(alias))
    {
        return Ok(Kind::AvailabilityZone);
    }
    let unknown_kind = |_| {
        let kinds: Vec<String> = Kind::ALL
            .iter()
            .map(|kind| kind.as_str().to_lowercase())
            .collect();
        format!(
            "there is no kind {text:?}; the kinds are {}",
            kinds.join(", ")
        )
    };
    text.parse().map_err(unknown_kind)
}

/// Rejects text that is not a valid name, because names become segments of URL paths.
fn parse_name(text: String) -> Result<Name, String> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    let dots = text.chars().all(|c| c == '.');
    match !dots && text.chars().all(valid) {
        true => Ok(Name::new(&text)),
        false => Err(format!(
            "{text:?} is not a name: a-z, 0-9, \"-\", \".\" and \"_\" are allowed"
        )),
    }
}

fn parse_share(fraction: f64) -> Result<Share, String> {
    Share::try_from(fraction)
}
