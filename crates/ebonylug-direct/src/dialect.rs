use http::HeaderName;
use http::header;

/// The header names of a deployment. All names are those of requests unless stated otherwise.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies one request; targets repeat it in answers.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// Set for targets: the only target that may run the request.
    pub expected_target: HeaderName,
    /// Set for targets: the organisation of the caller.
    pub organisation: HeaderName,
    /// Tokens of the prompt and the most tokens of the answer, with a comma between.
    pub tokens: HeaderName,
    /// The parts of the prompt, as `id:tokens` with commas between.
    pub prompt_parts: HeaderName,
    /// The id of the last event that the caller has.
    pub last_event: HeaderName,
    /// In answers of targets: proves who made the answer.
    pub signature: HeaderName,
    /// In answers of targets: the request did not run.
    pub not_run: HeaderName,
    /// In answers of targets: how long the target stays cold, in milliseconds.
    pub cold_time: HeaderName,
    /// Headers that only the system may set; those of callers are dropped.
    pub reserved: Vec<HeaderName>,
    /// The path at which the balancer asks whether the entry is ready.
    pub ready_path: Box<str>,
}

impl Dialect {
    /// Reports whether a header of a caller may reach a target.
    #[must_use]
    pub fn forwards(&self, name: &HeaderName) -> bool {
        !is_hop_by_hop(name)
            && name != self.organisation
            && name != self.expected_target
            && name != self.deadline
            && *name != header::AUTHORIZATION
            && *name != header::CONTENT_LENGTH
            && !self.reserved.contains(name)
    }
}

/// Reports whether a header concerns one connection only.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::PROXY_AUTHENTICATE,
    ]
    .contains(name)
        || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}
