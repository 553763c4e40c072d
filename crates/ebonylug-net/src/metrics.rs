//! Metrics of one process, scraped in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics of one process.
///
/// Each process, and each process that a test starts in-process, has its own registry.
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
    /// Panics if the exporter cannot be registered in the new registry, which is a defect.
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

    /// Returns the meter from which instruments are made.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("ebonylug")
    }

    /// Writes all metrics in the text format.
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
