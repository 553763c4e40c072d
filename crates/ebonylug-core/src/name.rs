use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a resource: an instance, target, availability zone, organisation, route, and so on.
///
/// Clones share the text, since many messages and tables hold the same names.
///
/// ```
/// use ebonylug_core::Name;
///
/// let zone = Name::new("liberia-a");
/// assert_eq!(zone.as_str(), "liberia-a");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name without validation; the resource API validates names.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Name(text.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name::new(text)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
