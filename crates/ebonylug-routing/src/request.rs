use std::time::Instant;

use ebonylug_core::{Fingerprint, PromptParts, Repeat, RequestId, Tier, Tokens};
use smallvec::SmallVec;

use crate::{OrganisationKey, RouteKey};

/// The properties of a client request that the router needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The request id, unique over all entries.
    pub id: RequestId,
    /// The route of the request.
    pub route: RouteKey,
    /// The organisation that the request is charged to.
    pub organisation: OrganisationKey,
    /// The class and rank of the request.
    pub tier: Tier,
    /// Length of the prompt in tokens.
    pub prompt: Tokens,
    /// The limit on the output that the request sets.
    pub max_output: Tokens,
    /// Hashes of the prompt's blocks. Each hash also covers all preceding blocks, so two requests
    /// with an equal hash share the whole prefix up to it.
    pub prefix: SmallVec<[u64; 8]>,
    /// Hash of the request content, which attributes crashes to requests.
    pub fingerprint: Fingerprint,
    /// Hashes of the parts of the prompt that other requests may share, which attribute crashes to a part.
    pub parts: PromptParts,
    /// The time after which the response is no longer useful, if there is one.
    pub deadline: Option<Instant>,
    /// Whether the request may be run more than once.
    pub repeat: Repeat,
    /// Output tokens that the client has already received. If positive, the request has run in
    /// part.
    pub offset: u64,
}
