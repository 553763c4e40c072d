use std::cell::Cell;
use std::rc::Rc;

use ebonylug_core::Name;

use crate::entry::Entry;
use crate::request::{BufferedRequest, Result};
use crate::response::Rejection;

/// Tokens taken from an organisation's quota. Dropping it refunds them if the request was sent to no
/// target.
pub(crate) struct QuotaCharge {
    entry: Rc<Entry>,
    organisation: Name,
    tokens: f64,
    used: Cell<bool>,
}

impl QuotaCharge {
    /// Takes the tokens of a request from the quota of its organisation, if it has one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the quota is exceeded.
    pub(crate) fn take(entry: &Rc<Entry>, request: &BufferedRequest) -> Result<Option<Self>> {
        let Some(organisation) = &request.organisation else {
            return Ok(None);
        };
        let tokens = request.cost(&entry.dialect);
        let name = organisation.name.clone();
        entry
            .take_quota(&name, tokens, request.rank())
            .map_err(Rejection::Refused)?;
        Ok(Some(QuotaCharge {
            entry: Rc::clone(entry),
            organisation: name,
            tokens,
            used: Cell::new(false),
        }))
    }

    /// Sets whether the request may have been sent to a target, so that its tokens are not refunded.
    pub(crate) fn set_used(&self, used: bool) {
        self.used.set(used);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.used.get() {
            self.entry.refund_quota(&self.organisation, self.tokens);
        }
    }
}
