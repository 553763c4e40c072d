//! Metrics in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics of one entry or sidecar.
///
/// Each has its own registry, also when a test starts several of them within one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty registry.
    ///
    /// # Panics
    ///
    /// Panics if the new registry rejects the exporter, which is a bug.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()
            .expect("an empty registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Metrics { registry, provider }
    }

    /// Returns the meter that creates instruments in this registry.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("ebonylug")
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        match TextEncoder::new().encode(&families, &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
