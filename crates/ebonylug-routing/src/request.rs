use std::time::Instant;

use ebonylug_core::{Fingerprint, Repeat, RequestId, Tier, Tokens};
use smallvec::SmallVec;

use crate::{OrganisationKey, RouteKey};

/// A request of a caller, as the router needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The identifier, unique over all entries.
    pub id: RequestId,
    /// The route that the request takes.
    pub route: RouteKey,
    /// The organisation that pays for the request.
    pub organisation: OrganisationKey,
    /// The tier.
    pub tier: Tier,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// The request's own limit on its output.
    pub max_output: Tokens,
    /// Hashes of the prompt's blocks. Each hash covers all blocks before it as well, so that
    /// two requests with an equal hash share the whole prefix.
    pub prefix: SmallVec<[u64; 8]>,
    /// Hash of the content, for crash attribution.
    pub fingerprint: Fingerprint,
    /// When the answer is of no more use.
    pub deadline: Option<Instant>,
    /// Whether the request may be run again.
    pub repeat: Repeat,
    /// Output tokens that the caller already has. Above zero, the request has run in part.
    pub offset: u64,
}
