//! Measures the latency of single calls of the HTTP client to the stand-in service on loopback. Each
//! call opens a new connection.

use std::time::{Duration, Instant};

use bytes::Bytes;
use skylarkpulley_standins::TableService;
use skylarkpulley_store::{HttpSettings, HttpStore, Store, StoreError, WriteClass};

/// Calls per measurement and client.
const CALLS: usize = 2_000;
/// Concurrent clients in the measurement of throughput.
const CLIENTS: usize = 16;

/// Size in bytes of the row `tables` with 310 teams.
const LARGE_ROW_BYTES: usize = 75 * 1024;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let service = TableService::start(([127, 0, 0, 1], 0).into()).await?;
    let store = HttpStore::new(&service.url(), HttpSettings::default())?;
    let mut version = store.put("small", 0, Bytes::from(vec![b'x'; 256]), WriteClass::Jobs).await?;
    store.put("large", 0, Bytes::from(vec![b'x'; LARGE_ROW_BYTES]), WriteClass::Tables).await?;

    for key in ["small", "large"] {
        let mut latencies = Vec::with_capacity(CALLS);
        for _ in 0..CALLS {
            let started_at = Instant::now();
            store.get(key).await?;
            latencies.push(started_at.elapsed());
        }
        print_latencies(&format!("get {key}"), &mut latencies);
    }
    let mut latencies = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let started_at = Instant::now();
        let value = Bytes::from(vec![b'x'; 256]);
        version = store.put("small", version, value, WriteClass::Jobs).await?;
        latencies.push(started_at.elapsed());
    }
    print_latencies("put small", &mut latencies);

    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS).map(|_| tokio::spawn(read_small(store.clone()))).collect();
    for client in clients {
        client.await??;
    }
    let rate = (CLIENTS * CALLS) as f64 / started_at.elapsed().as_secs_f64();
    println!("get small, {CLIENTS} clients: {rate:.0}/s");
    Ok(())
}

async fn read_small(store: HttpStore) -> Result<(), StoreError> {
    for _ in 0..CALLS {
        store.get("small").await?;
    }
    Ok(())
}

fn print_latencies(name: &str, latencies: &mut [Duration]) {
    latencies.sort_unstable();
    let (p50, p99) = (latencies[latencies.len() / 2], latencies[latencies.len() * 99 / 100]);
    println!("{name}: p50 {p50:?}, p99 {p99:?}");
}
