use std::time::{Duration, SystemTime};

use ebonylug_core::{Name, Revision};
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

use crate::{Phase, Share};

/// Share of the new version at the start of a move.
pub(crate) const INITIAL_SHARE: Share = Share::percent(1);
/// Highest share until the new version is shown to be no worse. At most 5 % of the traffic may be
/// exposed to a bad version.
pub(crate) const CANARY_SHARE: Share = Share::percent(5);

/// Fraction of the window after which the share rises from [`INITIAL_SHARE`] to [`CANARY_SHARE`].
const CANARY_START: f64 = 0.05;
/// Fraction of the window after which the ramp above the canary share begins.
const RAMP_START: f64 = 0.2;
/// Fraction of the window after which the schedule reaches 100 %.
const RAMP_END: f64 = 0.6;

/// The desired state of a move.
///
/// A move of several routes compares the versions on each route and is rolled back as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSpec {
    /// The name of the move.
    pub name: Name,
    /// The configuration revision that introduced the move.
    #[serde(default)]
    pub revision: Revision,
    /// The routes whose traffic moves.
    pub routes: SmallVec<[Name; 2]>,
    /// The version that serves the routes before the move.
    pub from: Name,
    /// The version that takes over.
    pub to: Name,
    /// When the first request may go to the new version.
    pub start: SystemTime,
    /// When the new version must have all traffic of the routes.
    pub deadline: SystemTime,
}

impl MoveSpec {
    /// Creates a move of one route with an empty window. Set the window with [`MoveSpec::window`].
    #[must_use]
    pub fn new(name: &str, route: &str, from: &str, to: &str) -> Self {
        MoveSpec {
            name: name.into(),
            revision: Revision::default(),
            routes: smallvec![route.into()],
            from: from.into(),
            to: to.into(),
            start: SystemTime::UNIX_EPOCH,
            deadline: SystemTime::UNIX_EPOCH,
        }
    }

    /// Adds another route to the move.
    #[must_use]
    pub fn route(mut self, route: &str) -> Self {
        self.routes.push(route.into());
        self
    }

    /// Sets the window from the start to the deadline.
    #[must_use]
    pub fn window(mut self, start: SystemTime, deadline: SystemTime) -> Self {
        self.start = start;
        self.deadline = deadline;
        self
    }

    /// Checks that the move has a route, two different versions and a window.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is not valid.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.routes.is_empty() {
            return Err(SpecError::NoRoute);
        }
        if self.from == self.to {
            return Err(SpecError::SameVersion(self.to.clone()));
        }
        if self.deadline <= self.start {
            return Err(SpecError::EmptyWindow);
        }
        Ok(())
    }

    /// Returns the elapsed fraction of the window: 0 at the start, 1 at the deadline and more than
    /// 1 after it. Returns `None` before the start.
    #[must_use]
    pub fn progress(&self, now: SystemTime) -> Option<f64> {
        let elapsed = now.duration_since(self.start).ok()?;
        let window = self.duration();
        if window.is_zero() {
            return Some(f64::INFINITY);
        }
        Some(elapsed.as_secs_f64() / window.as_secs_f64())
    }

    /// Returns the time between start and deadline, or zero if the deadline is not later.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.deadline.duration_since(self.start).unwrap_or_default()
    }
}

/// Error of [`MoveSpec::validate`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The move names no route.
    #[error("routes: at least one route is required")]
    NoRoute,
    /// The old and the new version are the same.
    #[error("to: the new version {0} is the old one")]
    SameVersion(Name),
    /// The deadline is not after the start.
    #[error("deadline: must be later than the start")]
    EmptyWindow,
}

/// Returns the scheduled share of the new version at `now`.
///
/// The schedule depends only on the move and the time, so all entries compute the same share
/// without communicating with each other or with the store: 1 %, then 5 % until a fifth of the
/// window has passed, then a linear rise to 100 % at three fifths. The rest of the window is for
/// observation, and for catching up when evidence arrived late.
#[must_use]
pub fn scheduled_share(spec: &MoveSpec, now: SystemTime) -> Share {
    let Some(progress) = spec.progress(now) else {
        return Share::ZERO;
    };
    if progress < CANARY_START {
        return INITIAL_SHARE;
    }
    if progress < RAMP_START {
        return CANARY_SHARE;
    }
    let ramp = (progress - RAMP_START) / (RAMP_END - RAMP_START);
    let canary = CANARY_SHARE.fraction();
    Share::from_fraction(canary + (1.0 - canary) * ramp)
}

/// Returns the first active move that shares a route with `new`.
///
/// A second move of a route is refused while the first is active, regardless of who ordered it. A
/// move that is declared again under its own name does not conflict with itself.
pub fn find_conflict<'a>(
    new: &MoveSpec,
    moves: impl IntoIterator<Item = (&'a MoveSpec, Phase)>,
) -> Option<&'a MoveSpec> {
    moves
        .into_iter()
        .filter(|(other, phase)| !phase.is_final() && other.name != new.name)
        .map(|(other, _)| other)
        .find(|other| other.routes.iter().any(|route| new.routes.contains(route)))
}
