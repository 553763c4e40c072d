//! A platform whose calls take a random time and fail at random, determined by a seed.

use std::future::Future;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use ebonylug_platform::{
    Committed, Error, MemoryPlatform, ObjectHash, ObjectStore, Result, Row, Table, Transaction,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Wraps the in-memory platform. Clones share the fault rate and the random sequence.
#[derive(Clone)]
pub struct FaultyPlatform {
    pub inner: MemoryPlatform,
    rng: Arc<Mutex<ChaCha8Rng>>,
    /// Number of faults per 1,000 calls.
    faults: Arc<AtomicU32>,
}

impl FaultyPlatform {
    pub fn new(inner: MemoryPlatform, seed: u64, faults: u32) -> Self {
        FaultyPlatform {
            inner,
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
            faults: Arc::new(AtomicU32::new(faults)),
        }
    }

    pub fn set_faults(&self, faults: u32) {
        self.faults.store(faults, Ordering::Relaxed);
    }

    pub fn draw(&self, bound: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..bound)
    }

    pub async fn random_delay(&self, max_ms: u64) {
        tokio::time::sleep(Duration::from_millis(self.draw(max_ms))).await;
    }

    async fn call<T, F>(&self, apply: F) -> Result<T>
    where
        F: Future<Output = Result<T>> + Send + 'static,
        T: Send + 'static,
    {
        self.random_delay(5).await;
        let fails = self.draw(1_000) < u64::from(self.faults.load(Ordering::Relaxed));
        let result = match if fails { self.draw(4) } else { 4 } {
            0 => Err(Error::Unavailable),
            // The call is lost.
            1 => Err(Error::Unknown),
            // The response is lost.
            2 => {
                let _ = apply.await;
                Err(Error::Unknown)
            }
            // The call takes effect after the caller has got an error.
            3 => {
                let delay = Duration::from_millis(self.draw(60));
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = apply.await;
                });
                Err(Error::Unknown)
            }
            _ => apply.await,
        };
        self.random_delay(5).await;
        result
    }
}

impl Table for FaultyPlatform {
    async fn transact(&self, transaction: Transaction) -> Result<Committed> {
        let inner = self.inner.clone();
        self.call(async move { inner.transact(transaction).await })
            .await
    }

    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let (inner, key) = (self.inner.clone(), key.to_owned());
        self.call(async move { inner.get(&key).await }).await
    }

    async fn scan(&self, prefix: &str, limit: usize) -> Result<Vec<Row>> {
        let (inner, prefix) = (self.inner.clone(), prefix.to_owned());
        self.call(async move { inner.scan(&prefix, limit).await })
            .await
    }
}

impl ObjectStore for FaultyPlatform {
    async fn put(&self, body: Bytes) -> Result<ObjectHash> {
        let inner = self.inner.clone();
        self.call(async move { inner.put(body).await }).await
    }

    async fn fetch(&self, hash: ObjectHash) -> Result<Bytes> {
        let inner = self.inner.clone();
        self.call(async move { inner.fetch(hash).await }).await
    }
}
