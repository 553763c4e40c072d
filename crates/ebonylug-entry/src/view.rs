use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use ebonylug_core::{Name, Revision};
use ebonylug_resource::{Document, OrganisationSpec, TokenHash};

/// The configuration in force, with indexes for the path of a request.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// The document.
    pub document: Arc<Document>,
    /// Organisations by the hashes of their tokens.
    tokens: HashMap<TokenHash, Name>,
}

impl ConfigView {
    fn new(document: Arc<Document>) -> Self {
        let organisations = document.all::<OrganisationSpec>().values();
        let tokens = organisations
            .flat_map(|organisation| {
                let name = organisation.name().clone();
                organisation
                    .spec
                    .tokens
                    .iter()
                    .map(move |hash| (*hash, name.clone()))
            })
            .collect();
        ConfigView { document, tokens }
    }

    /// Returns the organisation that a bearer token belongs to.
    ///
    /// Tokens are compared by hash, so that the time of the look-up tells nothing about them.
    #[must_use]
    pub fn organisation(&self, token: &str) -> Option<&Name> {
        self.tokens.get(&TokenHash::of(token))
    }
}

/// The configuration in force of this process. It only ever moves to higher revisions.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    view: RwLock<Arc<ConfigView>>,
}

impl CurrentConfig {
    /// Returns the configuration in force.
    #[must_use]
    pub fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.view.read().expect("view lock poisoned"))
    }

    /// Returns the revision in force; 0 before the first configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view().document.revision()
    }

    /// Puts a document in force unless its revision is not higher. Returns whether it did.
    pub fn apply(&self, document: Arc<Document>) -> bool {
        let mut view = self.view.write().expect("view lock poisoned");
        if document.revision() <= view.document.revision() {
            return false;
        }
        *view = Arc::new(ConfigView::new(document));
        true
    }
}
