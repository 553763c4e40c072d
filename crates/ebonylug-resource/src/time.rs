use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// A point in time, written as RFC 3339 text in UTC, such as `2026-03-01T06:00:00Z`.
///
/// Precision is one millisecond, so that values round-trip through text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Timestamp(SystemTime);

impl Timestamp {
    /// Rounds a time down to milliseconds and clamps it to the years 1970 to 9999, the latest year
    /// that RFC 3339 can express.
    #[must_use]
    pub fn new(time: SystemTime) -> Self {
        let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
        let millis = since_epoch
            .unwrap_or_default()
            .as_millis()
            .min(Self::MAX_MILLIS);
        let millis = u64::try_from(millis).expect("bounded by the last millisecond");
        Timestamp(SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
    }

    /// 9999-12-31T23:59:59.999Z.
    const MAX_MILLIS: u128 = 253_402_300_799_999;

    /// Returns the value as a system time.
    #[must_use]
    pub const fn time(self) -> SystemTime {
        self.0
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since_epoch = self.0.duration_since(SystemTime::UNIX_EPOCH);
        if since_epoch.unwrap_or_default().subsec_millis() == 0 {
            humantime::format_rfc3339_seconds(self.0).fmt(f)
        } else {
            humantime::format_rfc3339_millis(self.0).fmt(f)
        }
    }
}

impl FromStr for Timestamp {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        humantime::parse_rfc3339(text)
            .map(Timestamp::new)
            .map_err(|_| format!("{text:?} is not a UTC time such as \"2026-03-01T06:00:00Z\""))
    }
}

impl From<Timestamp> for String {
    fn from(time: Timestamp) -> String {
        time.to_string()
    }
}

impl TryFrom<String> for Timestamp {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

/// A duration, written as text with units, such as `30s` or `1h 30m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Span(pub Duration);

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        humantime::parse_duration(text)
            .map(Span)
            .map_err(|error| format!("{text:?} is not a duration such as \"30s\": {error}"))
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}

impl TryFrom<String> for Span {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}
