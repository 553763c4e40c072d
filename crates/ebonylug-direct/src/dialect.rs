use http::HeaderName;
use http::header;

/// The header names of a deployment. They are request headers unless stated otherwise.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies one request; targets echo it in their responses.
    pub request_id: HeaderName,
    /// The remaining time until the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Sent to targets: the name of the only target that may run the request.
    pub expected_target: HeaderName,
    /// Sent to targets: the organisation of the caller.
    pub organisation: HeaderName,
    /// The number of prompt tokens and the maximum number of output tokens, separated by a comma.
    pub tokens: HeaderName,
    /// The parts of the prompt, as `id:tokens` pairs separated by commas.
    pub prompt_parts: HeaderName,
    /// The id of the last event that the caller received.
    pub last_event: HeaderName,
    /// In responses of targets: the signature that proves which target produced the response.
    pub signature: HeaderName,
    /// In responses of targets: present if the request did not run.
    pub not_run: HeaderName,
    /// In responses of targets: how long the target stays cold, in milliseconds.
    pub cold_time: HeaderName,
    /// In responses of targets: `1` if the target is about to stop.
    pub leaving: HeaderName,
    /// In responses of targets: the requests per second that the target accepts from all entries together,
    /// as a decimal number. A response without it states that there is no limit.
    pub rate_limit: HeaderName,
    /// In responses of targets: the running and waiting requests, the slots, and possibly how long work takes
    /// on the machine now in percent of the usual time, separated by commas.
    pub server_load: HeaderName,
    /// Headers whose values targets may repeat in events of a stream, as fields with the name in lower case.
    pub event_fields: Vec<HeaderName>,
    /// Headers that only the system may set; those sent by callers are dropped.
    pub reserved: Vec<HeaderName>,
    /// The path of the load balancer's health check.
    pub ready_path: Box<str>,
}

impl Dialect {
    /// Reports whether events may have a field of this name besides those of the standard.
    pub(crate) fn allows_field(&self, field: &[u8]) -> bool {
        let mut names = self.event_fields.iter();
        names.any(|name| name.as_str().as_bytes() == field)
    }

    /// Reports whether a caller's header is forwarded to targets.
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

/// Reports whether a header applies to a single connection and must not be forwarded.
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
