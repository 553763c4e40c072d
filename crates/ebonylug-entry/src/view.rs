use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use ebonylug_core::{Name, Revision};
use ebonylug_resource::{Document, OrganisationSpec, TokenHash};

/// An active configuration, with indexes for request handling.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// All resources of the configuration.
    pub document: Arc<Document>,
    /// The organisation of each token hash.
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
    /// Tokens are looked up by hash, so that the time of the lookup does not leak information about
    /// them.
    #[must_use]
    pub fn organisation(&self, token: &str) -> Option<&Name> {
        self.tokens.get(&TokenHash::of(token))
    }
}

/// The active configuration of this process. Its revision never decreases.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    view: RwLock<Arc<ConfigView>>,
}

impl CurrentConfig {
    /// Returns the active configuration.
    #[must_use]
    pub fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.view.read().expect("view lock poisoned"))
    }

    /// Returns the active revision, or 0 before the first configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view().document.revision()
    }

    /// Activates a document if its revision is higher than the active one. Returns whether it did.
    pub fn apply(&self, document: Arc<Document>) -> bool {
        let mut view = self.view.write().expect("view lock poisoned");
        if document.revision() <= view.document.revision() {
            return false;
        }
        *view = Arc::new(ConfigView::new(document));
        true
    }
}
