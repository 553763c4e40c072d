use ebonylug_core::{Name, Revision};

use crate::{AnyResource, Kind, Resource, Spec};

/// A condition on the current resource under which an edit applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// No condition: the last edit wins.
    #[default]
    Any,
    /// The resource does not exist (`If-None-Match: *`).
    Absent,
    /// The resource has this revision (`If-Match`).
    Revision(Revision),
}

/// One edit of one resource.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates or replaces a resource. Its revision and status are ignored.
    Put(Box<AnyResource>, Precondition),
    /// Deletes a resource, which must exist.
    Delete(Kind, Name, Precondition),
}

impl Edit {
    /// Returns kind and name of the edited resource.
    #[must_use]
    pub fn resource_key(&self) -> (Kind, &Name) {
        match self {
            Edit::Put(resource, _) => (resource.kind(), resource.name()),
            Edit::Delete(kind, name, _) => (*kind, name),
        }
    }

    /// Returns the condition under which the edit applies.
    #[must_use]
    pub fn precondition(&self) -> Precondition {
        match self {
            Edit::Put(_, precondition) | Edit::Delete(_, _, precondition) => *precondition,
        }
    }
}

/// Edits that apply atomically. Only the final document is validated, so a route and its versions
/// may come in any order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// The edits, applied in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Returns a change that creates or replaces one resource.
    #[must_use]
    pub fn put<S: Spec>(resource: Resource<S>) -> Self {
        Change::put_all([S::wrap(resource)])
    }

    /// Returns a change that creates or replaces several resources.
    #[must_use]
    pub fn put_all(resources: impl IntoIterator<Item = AnyResource>) -> Self {
        let put = |resource| Edit::Put(Box::new(resource), Precondition::Any);
        Change {
            edits: resources.into_iter().map(put).collect(),
        }
    }

    /// Returns a change that deletes one resource.
    #[must_use]
    pub fn delete(kind: Kind, name: &str) -> Self {
        Change {
            edits: vec![Edit::Delete(kind, Name::new(name), Precondition::Any)],
        }
    }

    /// Sets the precondition of every edit.
    #[must_use]
    pub fn with_precondition(mut self, precondition: Precondition) -> Self {
        for edit in &mut self.edits {
            match edit {
                Edit::Put(_, current) | Edit::Delete(_, _, current) => *current = precondition,
            }
        }
        self
    }

    /// Appends the edits of another change.
    #[must_use]
    pub fn and(mut self, other: Change) -> Self {
        self.edits.extend(other.edits);
        self
    }
}
