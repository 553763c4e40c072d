use std::collections::BTreeMap;
use std::sync::Arc;

use ebonylug_core::{Name, Revision};

use crate::any::with_any;
use crate::{
    AnyResource, AvailabilityZoneSpec, Change, Edit, Kind, Move, MoveSpec, MoveState,
    OrganisationSpec, Precondition, Problem, Resource, Result, Route, RouteKind, RouteSpec, Spec,
    Status, TargetSpec, TierSpec, VersionSpec, validate,
};

/// The resources of one kind by name. Clones share the map.
pub type Collection<S> = Arc<BTreeMap<Name, Arc<Resource<S>>>>;

/// The whole configuration at one revision.
///
/// A document is immutable. Clones are cheap, since they share all collections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    pub(crate) revision: Revision,
    pub(crate) organisations: Collection<OrganisationSpec>,
    pub(crate) tiers: Collection<TierSpec>,
    pub(crate) zones: Collection<AvailabilityZoneSpec>,
    pub(crate) versions: Collection<VersionSpec>,
    pub(crate) routes: Collection<RouteSpec>,
    pub(crate) targets: Collection<TargetSpec>,
    pub(crate) moves: Collection<MoveSpec>,
}

/// Evaluates an expression with `$spec` as a type alias for the spec type of a kind.
macro_rules! with_kind {
    ($kind:expr, $spec:ident => $body:expr) => {{
        macro_rules! arm {
            ($type:ty) => {{
                type $spec = $type;
                $body
            }};
        }
        match $kind {
            $crate::Kind::Organisation => arm!($crate::OrganisationSpec),
            $crate::Kind::Tier => arm!($crate::TierSpec),
            $crate::Kind::AvailabilityZone => arm!($crate::AvailabilityZoneSpec),
            $crate::Kind::Version => arm!($crate::VersionSpec),
            $crate::Kind::Route => arm!($crate::RouteSpec),
            $crate::Kind::Target => arm!($crate::TargetSpec),
            $crate::Kind::Move => arm!($crate::MoveSpec),
        }
    }};
}

pub(crate) use with_kind;

impl Document {
    /// Returns the document before the first change. Its revision is 0 and never becomes active.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Returns the revision, which increases by one with each change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all resources of a kind, for example `document.all::<TargetSpec>()`.
    #[must_use]
    pub fn all<S: Spec>(&self) -> &BTreeMap<Name, Arc<Resource<S>>> {
        S::collection(self)
    }

    /// Returns the resource of a name, for example `document.get::<TierSpec>("urgent")`.
    #[must_use]
    pub fn get<S: Spec>(&self, name: &str) -> Option<&Arc<Resource<S>>> {
        self.all::<S>().get(name)
    }

    /// Returns a resource whose kind is known only at run time.
    #[must_use]
    pub fn find(&self, kind: Kind, name: &str) -> Option<AnyResource> {
        with_kind!(kind, S => self.get::<S>(name).map(|found| S::wrap((**found).clone())))
    }

    /// Returns all resources of a kind that is known only at run time, sorted by name.
    #[must_use]
    pub fn list(&self, kind: Kind) -> Vec<AnyResource> {
        with_kind!(kind, S => {
            let resources = self.all::<S>().values();
            resources.map(|resource| S::wrap((**resource).clone())).collect()
        })
    }

    /// Returns the route for chat completions of a model.
    #[must_use]
    pub fn chat_route(&self, model: &str) -> Option<&Arc<Route>> {
        self.routes.values().find(|route| match &route.spec.kind {
            RouteKind::Chat(chat) => chat.model.as_str() == model,
            RouteKind::Service(_) => false,
        })
    }

    /// Returns the route for a service call: the one with the longest prefix of the path.
    #[must_use]
    pub fn service_route(&self, path: &str) -> Option<&Arc<Route>> {
        let prefix_length = |route: &&Arc<Route>| match &route.spec.kind {
            RouteKind::Service(service) if service.covers(path) => Some(service.prefix.len()),
            _ => None,
        };
        let covering = self
            .routes
            .values()
            .filter(|route| prefix_length(route).is_some());
        covering.max_by_key(prefix_length)
    }

    /// Returns the active move of a route.
    #[must_use]
    pub fn active_move(&self, route: &str) -> Option<&Arc<Move>> {
        self.moves.values().find(|planned| {
            planned.spec.state == MoveState::Active && planned.spec.route.as_str() == route
        })
    }

    /// Applies a change and returns the document of the next revision. The current document stays
    /// unchanged.
    ///
    /// A resource whose spec and labels stay the same keeps its revision.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 409 if the precondition of an edit does not hold, 404 if an edit
    /// deletes a resource that does not exist, and 422 if the resulting document is not valid.
    pub fn apply(&self, change: &Change) -> Result<Document> {
        let mut next = self.clone();
        next.revision = self.revision.next();
        for edit in &change.edits {
            next.edit(edit)?;
        }
        validate::document(&next)?;
        Ok(next)
    }

    fn edit(&mut self, edit: &Edit) -> Result<()> {
        let (kind, name) = edit.resource_key();
        with_kind!(kind, S => self.check_precondition::<S>(name, edit.precondition()))?;
        match edit {
            Edit::Put(resource, _) => {
                with_any!(&**resource, resource => self.put(resource));
                Ok(())
            }
            Edit::Delete(kind, name, _) => with_kind!(*kind, S => self.delete::<S>(name)),
        }
    }

    fn check_precondition<S: Spec>(&self, name: &Name, precondition: Precondition) -> Result<()> {
        let current = self
            .get::<S>(name.as_str())
            .map(|found| found.metadata.revision);
        let reason = match (precondition, current) {
            (Precondition::Any, _) | (Precondition::Absent, None) => return Ok(()),
            (Precondition::Revision(revision), Some(current)) if revision == current => {
                return Ok(());
            }
            (Precondition::Absent, Some(current)) => {
                format!("the resource exists at revision {current}")
            }
            (Precondition::Revision(revision), Some(current)) => {
                format!("the resource is at revision {current}, not {revision}")
            }
            (Precondition::Revision(_), None) => "the resource does not exist".into(),
        };
        Err(Problem::conflict(S::KIND, name.as_str(), &reason))
    }

    fn put<S: Spec>(&mut self, resource: &Resource<S>) {
        let name = resource.name();
        if let Some(current) = self.get::<S>(name.as_str()) {
            let same_labels = current.metadata.labels == resource.metadata.labels;
            if same_labels && current.spec == resource.spec {
                return;
            }
        }
        let mut stored = resource.clone();
        stored.metadata.revision = self.revision;
        stored.status = Status::default();
        Arc::make_mut(S::collection_mut(self)).insert(name.clone(), Arc::new(stored));
    }

    fn delete<S: Spec>(&mut self, name: &Name) -> Result<()> {
        if self.get::<S>(name.as_str()).is_none() {
            let detail = format!("{}/{name} does not exist", S::KIND);
            return Err(Problem::not_found(&detail));
        }
        Arc::make_mut(S::collection_mut(self)).remove(name);
        Ok(())
    }
}
