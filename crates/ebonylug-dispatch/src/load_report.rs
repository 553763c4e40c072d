/// What a response of a target says about the load of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the target runs.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes on the target's machine at this moment, in percent of the usual time. `None` if the
    /// target does not state it.
    pub slowness: Option<u32>,
}
