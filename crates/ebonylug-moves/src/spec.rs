use std::time::{Duration, SystemTime};

use ebonylug_core::{Name, Revision};
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

use crate::{Phase, Share};

/// The share at the start of a move.
pub(crate) const FIRST: Share = Share::percent(1);
/// The highest share before the evidence suffices. The target value is at most 5 % of traffic.
pub(crate) const CANARY: Share = Share::percent(5);

/// Part of the window at which the canary share grows from [`FIRST`] to [`CANARY`].
const CANARY_AT: f64 = 0.05;
/// Part of the window at which the ramp above the canary share begins.
const RAMP_AT: f64 = 0.2;
/// Part of the window at which the schedule reaches 100 %.
const FULL_AT: f64 = 0.6;

/// The desired state of a move.
///
/// A move that lists several routes is judged on each of them, and is rolled back as a whole.
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
    /// When the new version must have all traffic.
    pub deadline: SystemTime,
}

impl MoveSpec {
    /// Creates a move of one route with an empty window; set it with [`MoveSpec::window`].
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

    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: &str) -> Self {
        self.routes.push(route.into());
        self
    }

    /// Sets the start and the deadline.
    #[must_use]
    pub fn window(mut self, start: SystemTime, deadline: SystemTime) -> Self {
        self.start = start;
        self.deadline = deadline;
        self
    }

    /// Checks the parts of the move against each other.
    ///
    /// # Errors
    ///
    /// Names the first field that is not valid.
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

    /// Returns the part of the window that has passed: 0 at the start, 1 at the deadline, more
    /// after it. It is `None` before the start.
    #[must_use]
    pub fn progress(&self, now: SystemTime) -> Option<f64> {
        let passed = now.duration_since(self.start).ok()?;
        let window = self.duration();
        if window.is_zero() {
            return Some(f64::INFINITY);
        }
        Some(passed.as_secs_f64() / window.as_secs_f64())
    }

    /// Returns the time between start and deadline.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.deadline.duration_since(self.start).unwrap_or_default()
    }
}

/// Why a move is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The move names no route.
    #[error("routes: at least one route is required")]
    NoRoute,
    /// Both versions are the same.
    #[error("to: the new version {0} is the old one")]
    SameVersion(Name),
    /// The deadline is not after the start.
    #[error("deadline: must be later than the start")]
    EmptyWindow,
}

/// Returns the share that the schedule gives the new version at `now`.
///
/// The schedule depends on nothing but the move and the time, so all entries agree on it without
/// asking each other or the store: 1 %, then 5 % in the first fifth of the window, then a
/// straight rise to 100 % at three fifths. The rest is time to watch, and to catch up when
/// evidence was late.
#[must_use]
pub fn scheduled_share(spec: &MoveSpec, now: SystemTime) -> Share {
    let Some(progress) = spec.progress(now) else {
        return Share::ZERO;
    };
    if progress < CANARY_AT {
        return FIRST;
    }
    if progress < RAMP_AT {
        return CANARY;
    }
    let risen = (progress - RAMP_AT) / (FULL_AT - RAMP_AT);
    let canary = CANARY.fraction();
    Share::from_fraction(canary + (1.0 - canary) * risen)
}

/// Returns the first move in force that has a route in common with `new`.
///
/// A second move of the same route is refused while the first is in force, whoever ordered it.
/// A move that was declared again under its own name does not conflict with itself.
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
